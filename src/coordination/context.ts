/**
 * What all parts of one controller share, and helpers that need nothing else. The composition root
 * (`service/controller.ts`) makes one context per process; each part below says who changes it.
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
 * The parts that all of one controller share. The context itself owns the two flags `synced` and
 * `stopping` and the hook `loadSpread`; everything else is owned by the part that is named.
 */
export interface ControllerContext {
  /** The deploy file; never changes. */
  readonly settings: Settings;
  /** The teams of the settings by name; never changes. */
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** What part of each team's limit and guarantee a shard may use; follows the replica's spans. */
  readonly quotas: ShardQuotas;
  /** The operators' settings; never change. */
  readonly operators: Operators;
  /** The state store's client. Its limits are set by `membership/write-share.ts` alone. */
  readonly store: StateStore;
  /** Changed by `service/replica-sync.ts`, and by whoever commits or rereads a record. */
  readonly replica: Replica;
  /** Label and incarnation of this process; never change. */
  readonly self: ControllerId;
  /** Adds the controller's label to each event. */
  readonly log: Logger;
  /** Uniform in [0, 1); simulated days replace it by a seeded generator. */
  readonly random: () => number;
  /** Timings for the `stats` event, which empties them. */
  readonly metrics: Metrics;
  /** Asked wherever an activity begins; a pause is passed to `Membership.onProcessResumed`. */
  readonly pauses: PauseDetector;
  /** Fed by the composition root's pause check alone. */
  readonly loopLag: EventLoopLag;
  /** Decisions of the load-spread package, set by its loader; absent while it is off. */
  loadSpread?: LoadSpreadHooks;
  /** False until the first scan is in the replica; set by `service/replica-sync.ts`. */
  synced: boolean;
  /** True once the process shuts down, set by its root: retries of undecided transactions end. */
  stopping: boolean;
}

/**
 * Applies a committed transaction to the replica at once, ahead of the watch. `rev` is the revision
 * of its commit, under which the watch will show the same changes again.
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
 * Reads keys from the state store into the replica, usually after a conflict showed that their
 * revisions were stale. Doubles and empty keys are passed over. True if all could be read.
 */
export const rereadKeys = async (
  ctx: ControllerContext,
  staleKeys: Iterable<string>,
): Promise<boolean> => {
  const readable = await Promise.all(
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
  return readable.every((ok) => ok);
};

/** Where another controller answers; undefined for this one and for labels not in the settings. */
export const peerAddress = (settings: Settings, label: ControllerLabel): string | undefined =>
  settings.seeds.find((seed) => seed.label === label)?.address;
