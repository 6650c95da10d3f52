/**
 * Cancellation of jobs, from the record of the user's request to the proof that none of the job's
 * tasks is left: the facade over the modules in this folder, which hold all state.
 *
 * Invariant: a cancellation that was confirmed to its user is enforced within `cancel_s`, even if
 * the state store can't be reached after the confirmation.
 */
import type { MachineId } from "@umberfold/ids";
import type { CancellationNotice } from "../../protocol/peer.js";
import type { HttpClient } from "../../transport/client.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import { ForcedReturns } from "./forced-returns.js";
import type { LocalShards } from "./local-shards.js";
import { NoticeOutbox } from "./notice-outbox.js";
import { NoticeReceiver } from "./notice-receiver.js";
import { OwnMachineEnforcement } from "./own-machine-enforcement.js";
import {
  type ForeignCancellation,
  UnreachableOwnerEnforcement,
} from "./unreachable-owner-enforcement.js";
import { UserConfirmations } from "./user-confirmations.js";

/**
 * Fraction of `cancel_s` after which the other controllers enforce a cancellation whose owner
 * doesn't answer while the state store fails.
 */
const FOREIGN_ENFORCEMENT_START_FRACTION = 0.5;

/** Confirms cancellations to users, notifies the other controllers and stops the tasks. */
export class Cancellations {
  readonly #confirmations: UserConfirmations;
  readonly #outbox: NoticeOutbox;
  readonly #receiver: NoticeReceiver;
  readonly #ownMachines: OwnMachineEnforcement;
  readonly #unreachableOwners: UnreachableOwnerEnforcement;
  readonly #forcedReturns: ForcedReturns;

  /**
   * @param localShards the shards that this controller owns
   * @param cloud HTTP client for forced returns of machines
   * @param peers HTTP client for cancellation notices to the other controllers
   * @param workers HTTP client for the machines of owners that don't answer
   */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    localShards: LocalShards,
    cloud: HttpClient,
    peers: HttpClient,
    workers: HttpClient,
  ) {
    this.#outbox = new NoticeOutbox(ctx, peers);
    this.#receiver = new NoticeReceiver(ctx, localShards);
    this.#confirmations = new UserConfirmations(ctx, membership, this.#outbox, this.#receiver);
    this.#forcedReturns = new ForcedReturns(ctx, cloud);
    this.#ownMachines = new OwnMachineEnforcement(ctx, localShards, this.#forcedReturns);
    this.#unreachableOwners = new UnreachableOwnerEnforcement(
      ctx,
      membership,
      this.#outbox,
      this.#forcedReturns,
      workers,
    );
  }

  /**
   * Whether a user may be told that the job is cancelled, given its record at revision
   * `notice.rev`. False means not yet: the user has to ask again. The promise doesn't reject if
   * a controller can't be reached.
   */
  confirm(notice: CancellationNotice): Promise<boolean> {
    return this.#confirmations.confirm(notice);
  }

  /** Applies notices from another controller and sends stop commands to the machines at once. */
  receiveNotices(notices: readonly CancellationNotice[]): void {
    this.#receiver.receive(notices);
  }

  /**
   * Enforces all cancellations: stops tasks and, if that fails, has machines returned, through the
   * leader or by direct calls. Called periodically. It doesn't wait for its network calls, which
   * may still be in flight when it returns.
   */
  async reconcile(): Promise<void> {
    const { ctx } = this;
    if (!ctx.isReplicaSynced) return;
    const cancelMs = ctx.settings.workers.cancellationTimeoutS * 1000;
    const machinesToReturn = new Set<MachineId>();
    const foreign: ForeignCancellation[] = [];
    for (const [job, { value: accepted, rev }] of ctx.replica.acceptedJobs) {
      if (accepted.cancelledAt === null) continue;
      const ageMs = wallClockNow() - accepted.cancelledAt;
      const shard = ctx.replica.shardOf(job);
      if (shard !== undefined && this.membership.ownsShard(shard))
        for (const machine of this.#ownMachines.enforce(job, ageMs)) machinesToReturn.add(machine);
      else if (ctx.store.isFailing() && ageMs >= cancelMs * FOREIGN_ENFORCEMENT_START_FRACTION)
        foreign.push({ job, notice: { job, rev, at: accepted.cancelledAt }, ageMs });
    }
    // Not awaited: a call that hangs must not delay the next run, which repeats stop commands.
    if (foreign.length > 0) void this.#unreachableOwners.enforce(foreign);
    if (machinesToReturn.size > 0) void this.#forcedReturns.returnMachines([...machinesToReturn]);
  }

  /** Counters since the process started, for the log event `stats`. */
  stats(): Readonly<Record<string, unknown>> {
    return {
      ...this.#confirmations.counters,
      ...this.#outbox.counters,
      ...this.#forcedReturns.counters,
      ...this.#unreachableOwners.counters,
    };
  }
}
