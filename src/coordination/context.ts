/**
 * The objects that all modules of one controller share, and helper functions that need only these.
 * The composition root (`service/controller.ts`) creates one context per process; the comment on
 * each field says which module changes it.
 */
import type { ControllerLabel, Revision, TeamName } from "@umberfold/ids";
import type { Operators } from "../config/operators.js";
import type { Settings, Team } from "../config/settings.js";
import type { Logger } from "../observability/log.js";
import type { Metrics } from "../observability/metrics.js";
import type { WriteOperation } from "../protocol/store.js";
import type { ControllerId } from "../storage/records.js";
import type { Replica } from "../storage/replica.js";
import type { StateStore } from "../storage/state-store.js";
import type { LoadSpreadHooks } from "./load-spread/hooks.js";
import type { EventLoopLag } from "./membership/event-loop-lag.js";
import type { PauseDetector } from "./membership/pause-detector.js";
import type { ShardQuotas } from "./sharding/shard-quotas.js";

/**
 * Shared by all modules of one controller. The context itself holds the flags `isReplicaSynced` and
 * `isShuttingDown` and the hook `loadSpread`; each other field is owned by the module that declares
 * its type.
 */
export interface ControllerContext {
  /** The settings of the deploy file; constant. */
  readonly settings: Settings;
  /** The teams of the settings, by name; constant. */
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Each team's limit and guarantee within a shard, computed from the spans in the replica. */
  readonly quotas: ShardQuotas;
  /** The operators' settings; constant. */
  readonly operators: Operators;
  /** The client of the state store. Only `membership/write-share.ts` changes its rate limits. */
  readonly store: StateStore;
  /**
   * This controller's copy of the state store. Changed by `service/replica-sync.ts`, and by any
   * module that commits or rereads a record.
   */
  readonly replica: Replica;
  /** Label and incarnation of this process; constant. */
  readonly self: ControllerId;
  /** The logger, which adds the controller's label to each event. */
  readonly log: Logger;
  /** Random numbers, uniform in [0, 1); simulations replace it by a seeded generator. */
  readonly random: () => number;
  /** Durations recorded for the log event `stats`, which resets them. */
  readonly metrics: Metrics;
  /**
   * Detects pauses of this process. Queried whenever an activity begins; a detected pause is passed
   * to `Membership.onProcessResumed`.
   */
  readonly pauseDetector: PauseDetector;
  /** How late timers of this process run. Updated only by `service/event-loop-watch.ts`. */
  readonly eventLoopLag: EventLoopLag;
  /** The decisions of the load-spread package, set by its loader; absent while it is disabled. */
  loadSpread?: LoadSpreadHooks;
  /**
   * True once the replica holds the first full scan of the state store; set by
   * `service/replica-sync.ts`. No decision is made before.
   */
  isReplicaSynced: boolean;
  /**
   * True once the process is shutting down; set by the composition root. Transactions whose outcome
   * is unknown are no longer retried then.
   */
  isShuttingDown: boolean;
}

/**
 * Applies a committed transaction to the replica at once instead of waiting for the watch.
 *
 * @param rev the revision of the commit; the watch delivers the same changes later with it
 */
export const applyCommitted = (
  replica: Replica,
  ops: readonly WriteOperation[],
  rev: Revision,
): void => {
  for (const op of ops)
    replica.apply(
      op.kind === "put"
        ? { kind: "put", key: op.key, value: op.value, rev }
        : { kind: "delete", key: op.key, rev },
    );
};

/**
 * Reads keys from the state store into the replica, usually after a conflict showed that the
 * replica's revisions of them were stale. Empty and duplicate keys are ignored. Returns true if the
 * store answered for all of them.
 */
export const rereadKeys = async (
  ctx: ControllerContext,
  staleKeys: Iterable<string>,
): Promise<boolean> => {
  const results = await Promise.all(
    [...new Set(staleKeys)]
      .filter((key) => key !== "")
      .map(async (key) => {
        const result = await ctx.store.get(key);
        if (result.kind === "found") ctx.replica.apply({ kind: "put", ...result.item });
        else if (result.kind === "absent")
          ctx.replica.apply({ kind: "delete", key, rev: result.rev });
        return result.kind !== "unavailable";
      }),
  );
  return results.every((isRead) => isRead);
};

/**
 * The address at which another controller takes peer messages; undefined for this controller and
 * for labels that are not in the settings.
 */
export const peerAddress = (settings: Settings, label: ControllerLabel): string | undefined =>
  settings.seeds.find((seed) => seed.label === label)?.address;
