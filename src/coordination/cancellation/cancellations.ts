/**
 * Cancellations, from their record to the proof that nothing of the job is left: the facade over
 * the parts in this folder.
 *
 * Owns no state beside its parts. What must hold: a cancellation that was confirmed to its user is
 * enforced within `cancel_s`, whether or not the state store can be reached afterwards.
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

/** From this fraction of `cancel_s` on the other controllers enforce what its owner doesn't. */
const FOREIGN_ENFORCEMENT_FROM_FRACTION = 0.5;

/** Confirms, spreads and enforces cancellations. */
export class Cancellations {
  readonly #confirmations: UserConfirmations;
  readonly #outbox: NoticeOutbox;
  readonly #receiver: NoticeReceiver;
  readonly #ownMachines: OwnMachineEnforcement;
  readonly #unreachableOwners: UnreachableOwnerEnforcement;
  readonly #forcedReturns: ForcedReturns;

  /**
   * @param owner the shards owned here
   * @param cloud the cloud, for forced returns
   * @param peers the other controllers, for notices
   * @param workers the machines, for those of an owner that doesn't answer
   */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    owner: LocalShards,
    cloud: HttpClient,
    peers: HttpClient,
    workers: HttpClient,
  ) {
    this.#outbox = new NoticeOutbox(ctx, peers);
    this.#receiver = new NoticeReceiver(ctx, owner);
    this.#confirmations = new UserConfirmations(ctx, membership, this.#outbox, this.#receiver);
    this.#forcedReturns = new ForcedReturns(ctx, cloud);
    this.#ownMachines = new OwnMachineEnforcement(ctx, owner, this.#forcedReturns);
    this.#unreachableOwners = new UnreachableOwnerEnforcement(
      ctx,
      membership,
      this.#outbox,
      this.#forcedReturns,
      workers,
    );
  }

  /**
   * Whether a user may be told that the job is cancelled, as its record at `notice.rev` says. False:
   * not yet, the user asks again. It never rejects for a controller that can't be reached.
   */
  confirm(notice: CancellationNotice): Promise<boolean> {
    return this.#confirmations.confirm(notice);
  }

  /** Takes in notices of another controller, and stops their tasks here at once. */
  receiveNotices(notices: readonly CancellationNotice[]): void {
    this.#receiver.receive(notices);
  }

  /**
   * Enforces all cancellations: stops tasks, and in the end returns machines, with or without
   * records. Called periodically; it waits for no call, and what is in flight goes on beyond it.
   */
  async reconcile(): Promise<void> {
    const { ctx } = this;
    if (!ctx.isReplicaSynced) return;
    const cancelMs = ctx.settings.workers.cancelS * 1000;
    const machinesToReturn = new Set<MachineId>();
    const foreign: ForeignCancellation[] = [];
    for (const [job, { value: accepted, rev }] of ctx.replica.accepted) {
      if (accepted.cancelledAt === null) continue;
      const ageMs = wallClockNow() - accepted.cancelledAt;
      const shard = ctx.replica.shardOf(job);
      if (shard !== undefined && this.membership.ownsShard(shard))
        for (const machine of this.#ownMachines.enforce(job, ageMs)) machinesToReturn.add(machine);
      else if (ctx.store.isFailing() && ageMs >= cancelMs * FOREIGN_ENFORCEMENT_FROM_FRACTION)
        foreign.push({ job, notice: { job, rev, at: accepted.cancelledAt }, ageMs });
    }
    // Neither is awaited: a call that hangs must not keep the next look from stopping tasks.
    if (foreign.length > 0) void this.#unreachableOwners.enforce(foreign);
    if (machinesToReturn.size > 0) void this.#forcedReturns.returnMachines([...machinesToReturn]);
  }

  /** Counts since the start, for the log event `stats`. */
  stats(): Readonly<Record<string, unknown>> {
    return {
      ...this.#confirmations.counters,
      ...this.#outbox.counters,
      ...this.#forcedReturns.counters,
      ...this.#unreachableOwners.counters,
    };
  }
}
