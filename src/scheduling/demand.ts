import type { Objective, Team } from "../cli/settings.js";
import type { MachineType } from "../protocol/cloud.js";
import type { JobId, ShardId, TeamName, Wall } from "../protocol/ids.js";
import { type JobSpec, type Resources, rankOrder } from "../protocol/jobs.js";
import { type LiveJob, waitingCount } from "../storage/records.js";
import { type DemandGroup, follow } from "./fleet.js";
import { patienceS, targetsOf, windowS } from "./objectives.js";
import { fits } from "./resources.js";

/** Guards against division by nothing for tasks that take no processors or no time. */
const LEAST_CPUS = 0.1;
const LEAST_WINDOW_S = 1;

export interface DemandInput {
  readonly jobs: Iterable<readonly [JobId, LiveJob]>;
  readonly shardOf: ReadonlyMap<TeamName, ShardId>;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Jobs within their team's guarantee. */
  readonly withinGuarantee: ReadonlySet<JobId>;
  readonly objectives: readonly Objective[];
  readonly runS: (job: LiveJob) => number;
  readonly types: readonly MachineType[];
  /** The fastest boot on offer: what must start sooner needs room that is there already. */
  readonly bootS: number;
  readonly headroom: number;
  /** The part of its spare time that a class should wait at most, and may wait if room is dear. */
  readonly patience: number;
  readonly lastPatience: number;
  readonly riseS: number;
  readonly fallS: number;
  /** What machines need beyond the bound, which takes work for perfectly divisible. */
  readonly margin: number;
  readonly dtS: number;
  readonly now: Wall;
  /** Level kept from the last look, by group. */
  readonly levels: ReadonlyMap<string, number>;
}

/**
 * Groups whose tasks fit the same machine types, and so use the same processors in turn. Work that
 * only some types can take gains nothing from the ends of work on the others. In processors.
 */
interface SharedTypes {
  readonly due: { readonly wanted: Due[]; readonly needed: Due[] };
  readonly alone: { wanted: number; needed: number };
}

const newSharedTypes = (): SharedTypes => ({
  due: { wanted: [], needed: [] },
  alone: { wanted: 0, needed: 0 },
});

interface Sum {
  readonly needs: Resources;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly spotAllowed: boolean;
  readonly rank: number;
  readonly sharing: SharedTypes;
  open: number;
  readonly waiting: Map<ShardId, number>;
  waits: number;
  /** Slots that would see its work through in good time, and only just. */
  wanted: number;
  needed: number;
  /** Tasks whose objectives leave less than a boot's time. */
  hasty: number;
  urgent: boolean;
}

/** Work that is to be done within a window. */
export interface Due {
  readonly windowS: number;
  /** Processor seconds. */
  readonly work: number;
}

/**
 * Processors that can do all work in its window, the most pressing first: over every window, the
 * work due in it by its length (the processor demand of earliest deadline first). Less than the
 * sum of what each job would want alone, for the same processors serve one after the other.
 */
export const demandBound = (due: readonly Due[]): number => {
  let work = 0;
  let most = 0;
  for (const d of [...due].sort((a, b) => a.windowS - b.windowS)) {
    work += d.work;
    most = Math.max(most, work / d.windowS);
  }
  return most;
};

const groupKeys = new WeakMap<JobSpec, string>();

/** Tasks with the same key are alike for renting. The class comes first, for the log. */
const groupKey = (spec: JobSpec): string => {
  const known = groupKeys.get(spec);
  if (known !== undefined) return known;
  const { needs, types, zone, spotAllowed, jobClass } = spec;
  const shape = [jobClass, needs.cpus, needs.gpus, needs.ramGb];
  const key = [...shape, types?.join() ?? "*", zone ?? "*", spotAllowed].join("|");
  groupKeys.set(spec, key);
  return key;
};

/**
 * Slots wanted by group. A class whose objectives leave less time than a machine takes to boot
 * wants room for all that is in the system, and some more; one with time to spare wants enough
 * for its backlog to drain within a part of that time. Both are smoothed: a burst that is over
 * before a machine has booted is no reason to rent one.
 */
export const demandOf = (
  d: DemandInput,
): { readonly groups: readonly DemandGroup[]; readonly levels: ReadonlyMap<string, number> } => {
  const sums = new Map<string, Sum>();
  const byTypes = new Map<string, SharedTypes>();
  const teamRoom = new Map<TeamName, number>();
  for (const [id, j] of d.jobs) {
    const shard = d.shardOf.get(j.spec.team);
    if (shard === undefined) continue;
    const { needs, types, zone, spotAllowed, rank, team } = j.spec;
    const key = groupKey(j.spec);
    let e = sums.get(key);
    if (e === undefined) {
      const base = { needs, types, zone, spotAllowed, rank: rankOrder(rank) };
      const on = d.types.filter(
        (t) => fits(needs, t.capacity) && (types === null || types.includes(t.name)),
      );
      const typesKey = on.map((t) => t.name).join("|");
      const sharing = byTypes.get(typesKey) ?? newSharedTypes();
      byTypes.set(typesKey, sharing);
      e = {
        ...base,
        sharing,
        open: 0,
        waits: 0,
        waiting: new Map(),
        wanted: 0,
        needed: 0,
        hasty: 0,
        urgent: false,
      };
      sums.set(key, e);
    }
    // A team at its limit can't use more room.
    const room = teamRoom.get(team) ?? d.teams.get(team)?.cpusMax ?? 0;
    const most = needs.cpus > 0 ? Math.floor((room + 1e-9) / needs.cpus) : j.spec.tasks;
    const waiting = Math.max(0, Math.min(waitingCount(j), most - j.open.length));
    teamRoom.set(team, room - (waiting + j.open.length) * needs.cpus);
    const runS = d.runS(j);
    const ageS = Math.max(0, (d.now - j.acceptedAt) / 1000);
    const targets = targetsOf(j.spec, d.objectives, d.withinGuarantee.has(id));
    e.open += j.open.length;
    e.waits += waiting;
    if (waiting > 0) e.waiting.set(shard, (e.waiting.get(shard) ?? 0) + waiting);
    // One long job must not make its whole class urgent.
    if (patienceS(targets, runS, d.patience) < d.bootS) e.hasty += waiting + j.open.length;
    // Work left, over the time there is for it. The running are half done on the whole.
    const slotsIn = (windowS: number): number =>
      waiting * Math.min(1, runS / windowS) + j.open.length * Math.min(1, runS / 2 / windowS);
    const work = (waiting + j.open.length / 2) * runS * Math.max(needs.cpus, LEAST_CPUS);
    for (const [tier, part] of [
      ["wanted", d.patience],
      ["needed", d.lastPatience],
    ] as const) {
      const window = windowS(targets, ageS, runS, part);
      e[tier] += slotsIn(window);
      // Nothing is done sooner than it runs.
      e.sharing.due[tier].push({ windowS: Math.max(window, runS, LEAST_WINDOW_S), work });
    }
  }
  for (const e of sums.values()) {
    e.urgent = 2 * e.hasty > e.open + e.waits;
    const cpus = Math.max(e.needs.cpus, LEAST_CPUS);
    for (const tier of ["wanted", "needed"] as const) {
      if (e.urgent) e[tier] = e.open + e.waits;
      e.sharing.alone[tier] += e[tier] * cpus;
    }
  }
  const part = (sharing: SharedTypes, tier: "wanted" | "needed"): number => {
    const bound = demandBound(sharing.due[tier]);
    return sharing.alone[tier] > 0 ? Math.min(1, (d.margin * bound) / sharing.alone[tier]) : 1;
  };
  const levels = new Map<string, number>();
  const ranked: { g: DemandGroup; rank: number }[] = [];
  for (const [key, e] of sums) {
    const smooth = (name: string, level: number): number => {
      const seen = follow(d.levels.get(name) ?? level, level, d.dtS, d.riseS, d.fallS);
      levels.set(name, seen);
      return seen;
    };
    const needed = smooth(`${key}|needed`, e.needed * part(e.sharing, "needed"));
    const wanted = smooth(`${key}|wanted`, e.wanted * part(e.sharing, "wanted"));
    const { open, waits, hasty, sharing: _sharing, wanted: _wanted, needed: _needed, ...g } = e;
    const beside = (n: number): number => Math.max(0, Math.ceil(n) - open);
    ranked.push({
      g: {
        ...g,
        needed: beside(needed),
        wanted: beside(e.urgent ? wanted * (1 + d.headroom) : Math.max(wanted, needed)),
      },
      rank: e.rank,
    });
  }
  ranked.sort((a, b) => a.rank - b.rank);
  return { groups: ranked.map((r) => r.g), levels };
};
