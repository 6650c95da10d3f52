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

/** What all parts of one controller share. */
export interface ControllerContext {
  readonly settings: Settings;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** What of each team's limit and guarantee a shard may use. */
  readonly quotas: ShardQuotas;
  readonly operators: Operators;
  readonly store: StateStore;
  readonly replica: Replica;
  readonly self: ControllerId;
  readonly log: Logger;
  readonly random: () => number;
  readonly metrics: Metrics;
  readonly pauses: PauseDetector;
  readonly loopLag: EventLoopLag;
  /** Decisions of the load-spread package; absent while it is off. */
  loadSpread?: LoadSpreadHooks;
  /** False until the first scan is in. */
  synced: boolean;
  stopping: boolean;
}

/** Takes an applied transaction into the replica at once, ahead of the watch. */
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

/** Reads keys again whose revision was not what we thought. True if all could be read. */
export const rereadKeys = async (
  ctx: ControllerContext,
  names: Iterable<string>,
): Promise<boolean> => {
  const read = await Promise.all(
    [...new Set(names)]
      .filter((key) => key !== "")
      .map(async (key) => {
        const r = await ctx.store.get(key);
        if (r.kind === "found") ctx.replica.apply({ kind: "put", ...r.item });
        else if (r.kind === "absent") ctx.replica.apply({ kind: "delete", key, rev: r.rev });
        return r.kind !== "unavailable";
      }),
  );
  return read.every((ok) => ok);
};

export const peerAddress = (settings: Settings, label: ControllerLabel): string | undefined =>
  settings.seeds.find((s) => s.label === label)?.address;
