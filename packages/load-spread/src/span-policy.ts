import type { ShardId } from "@umberfold/ids";
import type { Span, SpanEvent } from "@umberfold/spans";
import { type OwnerLoad, type TeamLoad, tasksOf, waitingOf } from "./load.js";
import type { Pressure, PressureInput } from "./pressure.js";
import type { LoadSpreadSettings } from "./settings.js";

export interface SpanDecision {
  readonly event: Extract<SpanEvent, { kind: "join" | "adopt" | "drain" | "leave" }>;
  /** Pressure has been answered: it must last anew before the next change. */
  readonly answersPressure: boolean;
}

const ownerOf = (owners: readonly OwnerLoad[], shard: ShardId): OwnerLoad | undefined =>
  owners.find((o) => o.shards.includes(shard));

const activeShards = (load: TeamLoad): readonly ShardId[] =>
  load.span?.entries.filter((e) => e.state === "active").map((e) => e.shard) ?? [load.home];

/** Owners that hold an active shard of the span, and those that hold none. */
const splitOwners = (
  load: TeamLoad,
  owners: readonly OwnerLoad[],
): { readonly within: readonly OwnerLoad[]; readonly outside: readonly OwnerLoad[] } => {
  const active = activeShards(load);
  const within = owners.filter((o) => o.shards.some((s) => active.includes(s)));
  return { within, outside: owners.filter((o) => !within.includes(o)) };
};

/** What a team's pressure is judged by. */
export const teamPressure = (load: TeamLoad, owners: readonly OwnerLoad[]): PressureInput => {
  const { within, outside } = splitOwners(load, owners);
  return {
    tasks: tasksOf(load),
    waiting: waitingOf(load),
    busiest: Math.max(0, ...within.map((o) => o.units)),
    idlest: Math.min(Number.POSITIVE_INFINITY, ...outside.map((o) => o.units)),
  };
};

/** The shard for a span to grow into: of the idlest owner outside it, one that drains if there is. */
const nextShard = (load: TeamLoad, owners: readonly OwnerLoad[]): ShardId | undefined => {
  const idlest = [...splitOwners(load, owners).outside].sort((a, b) => a.units - b.units)[0];
  if (idlest === undefined) return undefined;
  const draining = load.span?.entries.find((e) => idlest.shards.includes(e.shard));
  return draining?.shard ?? idlest.shards[0];
};

const isEmpty = (load: TeamLoad, shard: ShardId): boolean => {
  const here = load.shards.get(shard);
  return here === undefined || (here.jobs === 0 && here.open === 0);
};

/** A shard with jobs of the team that its span lacks: an accept came after the shard had left. */
const stray = (load: TeamLoad): ShardId | undefined => {
  const known = new Set(load.span?.entries.map((e) => e.shard) ?? [load.home]);
  for (const here of load.shards.values())
    if (!known.has(here.shard) && (here.jobs > 0 || here.open > 0)) return here.shard;
  return undefined;
};

const lastActive = (span: Span): ShardId | undefined =>
  span.entries.filter((e) => e.state === "active" && e.shard !== span.home).at(-1)?.shard;

/** At most one change of a team's span at a time. */
export const decideSpan = (
  load: TeamLoad,
  pressure: Pressure,
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
  now: number,
): SpanDecision | undefined => {
  const strayed = stray(load);
  if (strayed !== undefined)
    return { event: { kind: "adopt", shard: strayed }, answersPressure: false };
  const { span } = load;
  const gone = span?.entries.find(
    (e) => e.state === "draining" && e.share === 0 && isEmpty(load, e.shard),
  );
  if (gone !== undefined)
    return { event: { kind: "leave", shard: gone.shard }, answersPressure: false };
  const last = span === undefined ? undefined : lastActive(span);
  if (last !== undefined && !settings.enabled)
    return { event: { kind: "drain", shard: last }, answersPressure: false };
  const lastedS = (now - pressure.since) / 1000;
  if (pressure.state === "relaxed" && last !== undefined && lastedS >= settings.shrinkAfterS)
    return { event: { kind: "drain", shard: last }, answersPressure: true };
  if (pressure.state !== "pressed" || !settings.enabled) return undefined;
  if (lastedS < settings.growAfterS || activeShards(load).length >= settings.maxSpan)
    return undefined;
  // While a shard has no owner a takeover is on: what looks busy may only have been handed over.
  const held = (s: ShardId): boolean => ownerOf(owners, s) !== undefined;
  if (!activeShards(load).every(held)) return undefined;
  const shard = nextShard(load, owners);
  return shard === undefined
    ? undefined
    : { event: { kind: "join", shard }, answersPressure: true };
};

/** A span of the home shard alone, with all of the quota, means the same as no record. */
export const dissolvable = (span: Span): boolean =>
  span.entries.length === 1 && span.entries[0]?.shard === span.home;
