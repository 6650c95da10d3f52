import type { ShardId, TeamName } from "@umberfold/ids";
import type { OwnerLoad, ShardLoad, TeamLoad } from "@umberfold/load-spread";
import { type Share, share, WHOLE } from "@umberfold/spans";
import type { Team } from "../../config/settings.js";
import type { Resources } from "../../protocol/jobs.js";
import type { JobIndex } from "../../storage/job-index.js";
import { waitingTaskCount } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

/** Waiting tasks beyond this say nothing more about an owner's load. */
const MOST_WAITING_UNITS = 1000;

const partOf = (amount: number, most: number): number =>
  most === Number.POSITIVE_INFINITY || most <= 0 ? 0 : amount / most;

/** What part of a team's quota these resources take; 0 where the team has no limit. */
export const quotaPart = (team: Team, needs: Pick<Resources, "cpus" | "gpus">): number =>
  Math.max(partOf(needs.cpus, team.cpusMax), partOf(needs.gpus, team.gpusMax));

/** A part of a quota as a share; what rounding takes away is less than any task needs. */
export const quotaShare = (part: number): Share => share(Math.round(Math.max(0, part) * WHOLE));

interface Sums {
  jobs: number;
  open: number;
  openPart: number;
  waiting: number;
  waitingPart: number;
  largestPart: number;
  cpus: number;
  oldest: number;
}

const newSums = (): Sums => ({
  jobs: 0,
  open: 0,
  openPart: 0,
  waiting: 0,
  waitingPart: 0,
  largestPart: 0,
  cpus: 0,
  oldest: Number.POSITIVE_INFINITY,
});

/** What each team has in one shard. */
const sumsOfShard = (
  index: JobIndex,
  teams: ReadonlyMap<TeamName, Team>,
): ReadonlyMap<TeamName, Sums> => {
  const out = new Map<TeamName, Sums>();
  const of = (team: TeamName): Sums => {
    const sums = out.get(team) ?? newSums();
    out.set(team, sums);
    return sums;
  };
  for (const [team, jobs] of index.liveJobs()) of(team).jobs = jobs;
  for (const [name, counts] of index.openByTeam()) {
    const team = teams.get(name);
    const sums = of(name);
    for (const { resources, count } of counts.values()) {
      sums.open += count;
      sums.cpus += count * resources.cpus;
      if (team !== undefined) sums.openPart += count * quotaPart(team, resources);
    }
  }
  for (const job of index.waiting.values()) {
    const team = teams.get(job.spec.team);
    if (team === undefined) continue;
    const sums = of(job.spec.team);
    const waiting = waitingTaskCount(job);
    const part = quotaPart(team, job.spec.resources);
    sums.waiting += waiting;
    sums.cpus += waiting * job.spec.resources.cpus;
    sums.waitingPart += waiting * part;
    sums.largestPart = Math.max(sums.largestPart, part);
    sums.oldest = Math.min(sums.oldest, job.acceptedAt);
  }
  return out;
};

const shardLoad = (shard: ShardId, sums: Sums): ShardLoad => ({
  shard,
  jobs: sums.jobs,
  open: sums.open,
  waiting: sums.waiting,
  used: quotaShare(sums.openPart),
  demand: quotaShare(sums.openPart + sums.waitingPart),
  largest: quotaShare(sums.largestPart),
  wantedCpus: sums.cpus,
  oldest: sums.oldest,
});

/** What a team wants beyond its limit it can't have: less of it in each shard alike. */
const withinLimit = (
  loads: ReadonlyMap<ShardId, ShardLoad> | undefined,
  cpusMax: number,
): ReadonlyMap<ShardId, ShardLoad> => {
  if (loads === undefined) return new Map();
  let cpus = 0;
  for (const load of loads.values()) cpus += load.wantedCpus;
  if (cpus <= cpusMax) return loads;
  const part = cpusMax / cpus;
  return new Map(
    [...loads].map(([shard, load]) => [shard, { ...load, wantedCpus: load.wantedCpus * part }]),
  );
};

/** What each team of the settings has, over all shards; reads the pages of all of them. */
export const teamLoads = ({ replica, teams }: ControllerContext): readonly TeamLoad[] => {
  const shards = new Map<TeamName, Map<ShardId, ShardLoad>>();
  for (const [shard, { index }] of replica.allShardJobs())
    for (const [team, sums] of sumsOfShard(index, teams)) {
      const loads = shards.get(team) ?? new Map<ShardId, ShardLoad>();
      shards.set(team, loads);
      loads.set(shard, shardLoad(shard, sums));
    }
  const out: TeamLoad[] = [];
  for (const [team, most] of teams) {
    const home = replica.teams?.value.get(team);
    if (home === undefined) continue;
    const span = replica.spans.records.get(team)?.value;
    out.push({ team, home, span, shards: withinLimit(shards.get(team), most.cpusMax) });
  }
  return out;
};

/** What each owner has to do: machines, open attempts and waiting tasks of its shards. */
export const ownerLoads = ({ replica }: ControllerContext): readonly OwnerLoad[] => {
  const machines = new Map<ShardId, number>();
  for (const m of replica.machines.values())
    machines.set(m.shard, (machines.get(m.shard) ?? 0) + 1);
  const out = new Map<string, { owner: string; shards: ShardId[]; units: number }>();
  for (const label of replica.members.keys())
    out.set(label, { owner: label, shards: [], units: 0 });
  for (const [shard, record] of replica.shardOwners) {
    const load = out.get(record.value.label);
    // A shard whose owner is no member waits to be taken over.
    if (load === undefined) continue;
    const { index } = replica.shardJobs(shard);
    let open = 0;
    for (const counts of index.openByTeam().values())
      for (const { count } of counts.values()) open += count;
    let waiting = 0;
    for (const job of index.waiting.values()) waiting += waitingTaskCount(job);
    load.shards.push(shard);
    load.units += (machines.get(shard) ?? 0) + open + Math.min(waiting, MOST_WAITING_UNITS);
  }
  return [...out.values()].filter((o) => o.shards.length > 0);
};
