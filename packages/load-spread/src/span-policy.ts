/**
 * Decides whether a team's span grows, shrinks, or loses a shard that has finished draining.
 *
 * Holds no state. Each call returns at most one change, so that the next decision can take its
 * effect into account. Corrections (adopt, leave) come first, then draining because load spreading
 * is disabled, then changes because of pressure.
 */
import type { ShardId } from "@umberfold/ids";
import type { Span, SpanEvent } from "@umberfold/spans";
import { type OwnerLoad, type TeamLoad, taskCountOf, waitingTaskCountOf } from "./load.js";
import type { Pressure, PressureInput } from "./pressure.js";
import type { LoadSpreadSettings } from "./settings.js";

/** A change of a span. */
export interface SpanDecision {
  readonly event: Extract<SpanEvent, { kind: "join" | "adopt" | "drain" | "leave" }>;
  /**
   * Whether the change responds to the team's pressure. The pressure must then last for the full
   * period again before the next such change.
   */
  readonly restartsPressureTimer: boolean;
}

const ownerOf = (owners: readonly OwnerLoad[], shard: ShardId): OwnerLoad | undefined =>
  owners.find((owner) => owner.shards.includes(shard));

const activeShards = (load: TeamLoad): readonly ShardId[] =>
  load.span?.entries.filter((entry) => entry.state === "active").map((entry) => entry.shard) ?? [
    load.home,
  ];

/** Separates the owners of the span's active shards from all other owners. */
const splitOwners = (
  load: TeamLoad,
  owners: readonly OwnerLoad[],
): { readonly inside: readonly OwnerLoad[]; readonly outside: readonly OwnerLoad[] } => {
  const active = activeShards(load);
  const inside = owners.filter((owner) => owner.shards.some((shard) => active.includes(shard)));
  return { inside, outside: owners.filter((owner) => !inside.includes(owner)) };
};

/** Returns the values from which a team's pressure is computed. */
export const teamPressure = (load: TeamLoad, owners: readonly OwnerLoad[]): PressureInput => {
  const { inside, outside } = splitOwners(load, owners);
  return {
    taskCount: taskCountOf(load),
    waitingTaskCount: waitingTaskCountOf(load),
    maxSpanOwnerUnits: Math.max(0, ...inside.map((owner) => owner.loadUnits)),
    minOtherOwnerUnits: Math.min(
      Number.POSITIVE_INFINITY,
      ...outside.map((owner) => owner.loadUnits),
    ),
  };
};

/**
 * Returns a shard of the least loaded owner without an active shard in the span; a draining shard
 * of the span is preferred if that owner has one.
 */
const shardOfLeastLoadedOwner = (
  load: TeamLoad,
  owners: readonly OwnerLoad[],
): ShardId | undefined => {
  const leastLoaded = [...splitOwners(load, owners).outside].sort(
    (a, b) => a.loadUnits - b.loadUnits,
  )[0];
  if (leastLoaded === undefined) return undefined;
  const draining = load.span?.entries.find((entry) => leastLoaded.shards.includes(entry.shard));
  return draining?.shard ?? leastLoaded.shards[0];
};

const hasWork = (load: TeamLoad, shard: ShardId): boolean => {
  const row = load.shards.get(shard);
  return row !== undefined && (row.jobCount > 0 || row.openAttemptCount > 0);
};

/**
 * Returns a shard with jobs of the team that is not in its span. It occurs if a job was submitted
 * to the shard after it had left the span.
 */
const shardToAdopt = (load: TeamLoad): ShardId | undefined => {
  const known = new Set(load.span?.entries.map((entry) => entry.shard) ?? [load.home]);
  for (const { shard } of load.shards.values())
    if (!known.has(shard) && hasWork(load, shard)) return shard;
  return undefined;
};

/** Returns a draining shard without jobs, open attempts and share. */
const shardToLeave = (load: TeamLoad): ShardId | undefined =>
  load.span?.entries.find(
    (entry) => entry.state === "draining" && entry.share === 0 && !hasWork(load, entry.shard),
  )?.shard;

/** Returns the active shard that is last in the span, except for the home shard. */
const shardToDrain = (load: TeamLoad): ShardId | undefined =>
  load.span?.entries
    .filter((entry) => entry.state === "active" && entry.shard !== load.span?.home)
    .at(-1)?.shard;

/** Returns the shard that joins because of high pressure; undefined if the span may not grow. */
const shardToJoin = (
  load: TeamLoad,
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
): ShardId | undefined => {
  const active = activeShards(load);
  if (active.length >= settings.maxSpan) return undefined;
  // A shard without an owner indicates a failover: the load of an owner may be high only because it
  // has just taken over shards.
  if (!active.every((shard) => ownerOf(owners, shard) !== undefined)) return undefined;
  return shardOfLeastLoadedOwner(load, owners);
};

/**
 * Returns the next change of a team's span, or undefined if there is none. `nowMs` and the
 * pressure's `sinceMs` are times of the same monotonic clock.
 */
export const decideSpan = (
  load: TeamLoad,
  pressure: Pressure,
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
  nowMs: number,
): SpanDecision | undefined => {
  const toAdopt = shardToAdopt(load);
  if (toAdopt !== undefined)
    return { event: { kind: "adopt", shard: toAdopt }, restartsPressureTimer: false };
  const toLeave = shardToLeave(load);
  if (toLeave !== undefined)
    return { event: { kind: "leave", shard: toLeave }, restartsPressureTimer: false };
  const toDrain = shardToDrain(load);
  if (toDrain !== undefined && !settings.enabled)
    return { event: { kind: "drain", shard: toDrain }, restartsPressureTimer: false };
  const pressureDurationS = (nowMs - pressure.sinceMs) / 1000;
  if (
    pressure.state === "low" &&
    toDrain !== undefined &&
    pressureDurationS >= settings.shrinkAfterS
  )
    return { event: { kind: "drain", shard: toDrain }, restartsPressureTimer: true };
  if (pressure.state !== "high" || !settings.enabled || pressureDurationS < settings.growAfterS)
    return undefined;
  const toJoin = shardToJoin(load, owners, settings);
  return toJoin === undefined
    ? undefined
    : { event: { kind: "join", shard: toJoin }, restartsPressureTimer: true };
};

/**
 * Whether a span's record can be deleted: a span of the home shard alone is equivalent to no
 * record.
 */
export const isDissolvable = (span: Span): boolean =>
  span.entries.length === 1 && span.entries[0]?.shard === span.home;
