import type { ShardId, TeamName } from "@umberfold/ids";
import type { TeamLoad } from "./load.js";

/** Processors that go from one shard to another. */
export interface MachineShift {
  readonly from: ShardId;
  readonly to: ShardId;
  readonly cpus: number;
}

/** A shard is moved machines once it lacks this part of its fair need, and never more a time. */
const LEAST_LACK = 0.1;
const MOST_SHIFTED = 0.1;

/** What each team gets of a capacity that is divided max-min fairly between what they want. */
const fairParts = (
  wanted: ReadonlyMap<TeamName, number>,
  capacity: number,
): ReadonlyMap<TeamName, number> => {
  const out = new Map<TeamName, number>();
  let left = capacity;
  const rest = [...wanted].sort((a, b) => a[1] - b[1]);
  for (const [i, [team, cpus]] of rest.entries()) {
    const part = Math.min(cpus, left / (rest.length - i));
    out.set(team, part);
    left -= part;
  }
  return out;
};

/** What each shard needs so that every team gets its fair part of all machines. */
export const fairNeeds = (
  loads: readonly TeamLoad[],
  capacity: number,
): ReadonlyMap<ShardId, number> => {
  const wanted = new Map<TeamName, number>();
  for (const { team, shards } of loads) {
    let cpus = 0;
    for (const here of shards.values()) cpus += here.wantedCpus;
    if (cpus > 0) wanted.set(team, cpus);
  }
  const parts = fairParts(wanted, capacity);
  const needs = new Map<ShardId, number>();
  for (const { team, shards } of loads) {
    const share = (parts.get(team) ?? 0) / Math.max(1e-9, wanted.get(team) ?? 0);
    for (const here of shards.values())
      needs.set(here.shard, (needs.get(here.shard) ?? 0) + here.wantedCpus * share);
  }
  return needs;
};

/**
 * Which shards should give machines to which, none being idle: from those with most beyond their
 * fair need to those that lack most of theirs and have tasks waiting.
 */
export const machineShifts = (
  loads: readonly TeamLoad[],
  capacity: ReadonlyMap<ShardId, number>,
): readonly MachineShift[] => {
  const total = [...capacity.values()].reduce((sum, cpus) => sum + cpus, 0);
  const needs = fairNeeds(loads, total);
  const waits = new Set(
    loads.flatMap((l) => [...l.shards.values()].filter((s) => s.waiting > 0).map((s) => s.shard)),
  );
  const lacks: { readonly shard: ShardId; cpus: number }[] = [];
  const spare: { readonly shard: ShardId; cpus: number }[] = [];
  for (const [shard, cpus] of capacity) {
    const need = needs.get(shard) ?? 0;
    if (need - cpus > LEAST_LACK * need && waits.has(shard))
      lacks.push({ shard, cpus: need - cpus });
    else if (cpus > need) spare.push({ shard, cpus: cpus - need });
  }
  lacks.sort((a, b) => b.cpus - a.cpus);
  spare.sort((a, b) => b.cpus - a.cpus);
  const out: MachineShift[] = [];
  let left = MOST_SHIFTED * total;
  for (const to of lacks)
    for (const from of spare) {
      const cpus = Math.min(to.cpus, from.cpus, left);
      if (cpus <= 0) continue;
      out.push({ from: from.shard, to: to.shard, cpus });
      to.cpus -= cpus;
      from.cpus -= cpus;
      left -= cpus;
    }
  return out;
};
