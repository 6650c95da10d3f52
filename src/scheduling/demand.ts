import type { Objective, Team } from "../cli/settings.js";
import type { JobId, ShareNo, TeamName } from "../protocol/ids.js";
import { type Resources, rankOrder } from "../protocol/jobs.js";
import { type LiveJob, waitingCount } from "../storage/records.js";
import { type DemandGroup, follow } from "./fleet.js";
import { patienceS, targetsOf } from "./objectives.js";

export interface DemandInput {
  readonly jobs: Iterable<readonly [JobId, LiveJob]>;
  readonly shareOf: ReadonlyMap<TeamName, ShareNo>;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly owed: ReadonlySet<JobId>;
  readonly objectives: readonly Objective[];
  readonly runS: (job: LiveJob) => number;
  /** The fastest boot on offer: what must start sooner needs room that is there already. */
  readonly bootS: number;
  readonly headroom: number;
  readonly patience: number;
  readonly riseS: number;
  readonly fallS: number;
  readonly dtS: number;
  /** Level kept from the last look, by group. */
  readonly levels: ReadonlyMap<string, number>;
}

interface Sum {
  readonly needs: Resources;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly spotAllowed: boolean;
  readonly rank: number;
  open: number;
  readonly waiting: Map<ShareNo, number>;
  waits: number;
  /** Slots that would see the waiting tasks through in the time their objectives leave. */
  needed: number;
  urgent: boolean;
}

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
  const teamRoom = new Map<TeamName, number>();
  for (const [id, j] of d.jobs) {
    const share = d.shareOf.get(j.spec.team);
    if (share === undefined) continue;
    const { needs, types, zone, spotAllowed, jobClass, rank, team } = j.spec;
    const shape = [jobClass, needs.cpus, needs.gpus, needs.ramGb];
    const key = [...shape, types?.join() ?? "*", zone ?? "*", spotAllowed].join("|");
    let e = sums.get(key);
    if (e === undefined) {
      const base = { needs, types, zone, spotAllowed, rank: rankOrder(rank) };
      e = { ...base, open: 0, waits: 0, waiting: new Map(), needed: 0, urgent: false };
      sums.set(key, e);
    }
    // A team at its limit can't use more room.
    const room = teamRoom.get(team) ?? d.teams.get(team)?.cpusMax ?? 0;
    const most = needs.cpus > 0 ? Math.floor((room + 1e-9) / needs.cpus) : j.spec.tasks;
    const waiting = Math.max(0, Math.min(waitingCount(j), most - j.open.length));
    teamRoom.set(team, room - (waiting + j.open.length) * needs.cpus);
    const runS = d.runS(j);
    const targets = targetsOf(j.spec, d.objectives, d.owed.has(id));
    const patience = patienceS(targets, runS, d.patience);
    if (patience < d.bootS) e.urgent = true;
    e.open += j.open.length;
    e.waits += waiting;
    if (waiting > 0) e.waiting.set(share, (e.waiting.get(share) ?? 0) + waiting);
    // Work left, over the time there is for it. The running are half done on the whole.
    const window = Math.max(patience, 1e-3);
    e.needed += waiting * Math.min(1, runS / window);
    e.needed += j.open.length * Math.min(1, runS / 2 / window);
  }
  const levels = new Map<string, number>();
  const ranked: { g: DemandGroup; rank: number }[] = [];
  for (const [key, e] of sums) {
    const level = e.urgent ? e.open + e.waits : e.needed;
    const seen = follow(d.levels.get(key) ?? level, level, d.dtS, d.riseS, d.fallS);
    levels.set(key, seen);
    const want = e.urgent ? seen * (1 + d.headroom) : seen;
    const { open, needed, waits, ...g } = e;
    ranked.push({ g: { ...g, wanted: Math.max(0, Math.ceil(want) - open) }, rank: e.rank });
  }
  ranked.sort((a, b) => a.rank - b.rank);
  return { groups: ranked.map((r) => r.g), levels };
};
