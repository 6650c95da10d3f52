/**
 * Decides whether a team's span grows, shrinks, or loses a shard that is done draining.
 *
 * No state. At most one change of a span at a time, so that each is judged by what the one before
 * has done. Repairs go first (adopt, leave), then what switching off asks for, then pressure.
 */
import type { ShardId } from "@umberfold/ids";
import type { Span, SpanEvent } from "@umberfold/spans";
import { type OwnerLoad, type TeamLoad, taskCountOf, waitingTaskCountOf } from "./load.js";
import type { Pressure, PressureInput } from "./pressure.js";
import type { LoadSpreadSettings } from "./settings.js";

/** A change of a span. */
export interface SpanDecision {
  readonly event: Extract<SpanEvent, { kind: "join" | "adopt" | "drain" | "leave" }>;
  /** The change answers the pressure: it must last anew before the next change. */
  readonly restartsPressureTimer: boolean;
}

const ownerOf = (owners: readonly OwnerLoad[], shard: ShardId): OwnerLoad | undefined =>
  owners.find((owner) => owner.shards.includes(shard));

const activeShards = (load: TeamLoad): readonly ShardId[] =>
  load.span?.entries.filter((entry) => entry.state === "active").map((entry) => entry.shard) ?? [
    load.home,
  ];

/** Owners of an active shard of the span, and owners of none. */
const splitOwners = (
  load: TeamLoad,
  owners: readonly OwnerLoad[],
): { readonly within: readonly OwnerLoad[]; readonly outside: readonly OwnerLoad[] } => {
  const active = activeShards(load);
  const within = owners.filter((owner) => owner.shards.some((shard) => active.includes(shard)));
  return { within, outside: owners.filter((owner) => !within.includes(owner)) };
};

/** What a team's pressure is judged by. */
export const teamPressure = (load: TeamLoad, owners: readonly OwnerLoad[]): PressureInput => {
  const { within, outside } = splitOwners(load, owners);
  return {
    taskCount: taskCountOf(load),
    waitingTaskCount: waitingTaskCountOf(load),
    maxSpanOwnerUnits: Math.max(0, ...within.map((owner) => owner.loadUnits)),
    minOtherOwnerUnits: Math.min(
      Number.POSITIVE_INFINITY,
      ...outside.map((owner) => owner.loadUnits),
    ),
  };
};

/** The shard that a span grows into: of the idlest owner outside it, a draining one if it has any. */
const shardOfIdlestOwner = (load: TeamLoad, owners: readonly OwnerLoad[]): ShardId | undefined => {
  const idlest = [...splitOwners(load, owners).outside].sort(
    (a, b) => a.loadUnits - b.loadUnits,
  )[0];
  if (idlest === undefined) return undefined;
  const draining = load.span?.entries.find((entry) => idlest.shards.includes(entry.shard));
  return draining?.shard ?? idlest.shards[0];
};

const hasWork = (load: TeamLoad, shard: ShardId): boolean => {
  const row = load.shards.get(shard);
  return row !== undefined && (row.jobCount > 0 || row.openAttemptCount > 0);
};

/** A shard with jobs of the team that its span lacks: a submission came after the shard had left. */
const shardToAdopt = (load: TeamLoad): ShardId | undefined => {
  const known = new Set(load.span?.entries.map((entry) => entry.shard) ?? [load.home]);
  for (const { shard } of load.shards.values())
    if (!known.has(shard) && hasWork(load, shard)) return shard;
  return undefined;
};

/** A draining shard that has neither work nor a share left. */
const shardToLeave = (load: TeamLoad): ShardId | undefined =>
  load.span?.entries.find(
    (entry) => entry.state === "draining" && entry.share === 0 && !hasWork(load, entry.shard),
  )?.shard;

/** The active shard that joined last; never the home shard. */
const shardToDrain = (load: TeamLoad): ShardId | undefined =>
  load.span?.entries
    .filter((entry) => entry.state === "active" && entry.shard !== load.span?.home)
    .at(-1)?.shard;

/** The shard that joins because of pressure; undefined if the span may not grow now. */
const shardToJoin = (
  load: TeamLoad,
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
): ShardId | undefined => {
  const active = activeShards(load);
  if (active.length >= settings.maxSpan) return undefined;
  // While a shard has no owner a failover is on: an owner that looks busy may only have taken over.
  if (!active.every((shard) => ownerOf(owners, shard) !== undefined)) return undefined;
  return shardOfIdlestOwner(load, owners);
};

/**
 * The next change of a team's span, or undefined for none. `now` and the pressure's `since`:
 * milliseconds of one monotonic clock.
 */
export const decideSpan = (
  load: TeamLoad,
  pressure: Pressure,
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
  now: number,
): SpanDecision | undefined => {
  const adopted = shardToAdopt(load);
  if (adopted !== undefined)
    return { event: { kind: "adopt", shard: adopted }, restartsPressureTimer: false };
  const left = shardToLeave(load);
  if (left !== undefined)
    return { event: { kind: "leave", shard: left }, restartsPressureTimer: false };
  const drained = shardToDrain(load);
  if (drained !== undefined && !settings.enabled)
    return { event: { kind: "drain", shard: drained }, restartsPressureTimer: false };
  const lastedS = (now - pressure.sinceMs) / 1000;
  if (pressure.state === "relaxed" && drained !== undefined && lastedS >= settings.shrinkAfterS)
    return { event: { kind: "drain", shard: drained }, restartsPressureTimer: true };
  if (pressure.state !== "pressed" || !settings.enabled || lastedS < settings.growAfterS)
    return undefined;
  const joining = shardToJoin(load, owners, settings);
  return joining === undefined
    ? undefined
    : { event: { kind: "join", shard: joining }, restartsPressureTimer: true };
};

/**
 * Whether a span's record can be deleted: the home shard is alone in it, which means the same as no
 * record.
 */
export const isDissolvable = (span: Span): boolean =>
  span.entries.length === 1 && span.entries[0]?.shard === span.home;
