/** Computes each team's jobs, open attempts and waiting tasks in each shard from the replica. */
import type { ShardId, TeamName } from "@umberfold/ids";
import type { ShardLoad, TeamLoad } from "@umberfold/load-spread";
import type { Team } from "../../config/settings.js";
import type { JobIndex } from "../../storage/job-index.js";
import { waitingTaskCount } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";
import { quotaFraction, quotaShare } from "./quota-share.js";

/** Sums over one team's jobs in one shard. Fractions are fractions of the team's quota. */
interface TeamSums {
  jobCount: number;
  openAttemptCount: number;
  openFraction: number;
  waitingTaskCount: number;
  waitingFraction: number;
  largestTaskFraction: number;
  demandCpus: number;
  oldestAcceptedAt: number;
}

const newSums = (): TeamSums => ({
  jobCount: 0,
  openAttemptCount: 0,
  openFraction: 0,
  waitingTaskCount: 0,
  waitingFraction: 0,
  largestTaskFraction: 0,
  demandCpus: 0,
  oldestAcceptedAt: Number.POSITIVE_INFINITY,
});

/** Returns the sums of each team in one shard. */
const sumsOfShard = (
  index: JobIndex,
  teams: ReadonlyMap<TeamName, Team>,
): ReadonlyMap<TeamName, TeamSums> => {
  const sumsByTeam = new Map<TeamName, TeamSums>();
  const sumsFor = (team: TeamName): TeamSums => {
    const sums = sumsByTeam.get(team) ?? newSums();
    sumsByTeam.set(team, sums);
    return sums;
  };
  for (const [team, jobs] of index.uncancelledJobCounts()) sumsFor(team).jobCount = jobs;
  for (const [name, counts] of index.openAttemptCountsByTeam()) {
    const team = teams.get(name);
    const sums = sumsFor(name);
    for (const { resources, count } of counts.values()) {
      sums.openAttemptCount += count;
      sums.demandCpus += count * resources.cpus;
      if (team !== undefined) sums.openFraction += count * quotaFraction(team, resources);
    }
  }
  for (const job of index.waitingJobs.values()) {
    const team = teams.get(job.spec.team);
    if (team === undefined) continue;
    const sums = sumsFor(job.spec.team);
    const waiting = waitingTaskCount(job);
    const fraction = quotaFraction(team, job.spec.resources);
    sums.waitingTaskCount += waiting;
    sums.demandCpus += waiting * job.spec.resources.cpus;
    sums.waitingFraction += waiting * fraction;
    sums.largestTaskFraction = Math.max(sums.largestTaskFraction, fraction);
    sums.oldestAcceptedAt = Math.min(sums.oldestAcceptedAt, job.acceptedAt);
  }
  return sumsByTeam;
};

const shardLoad = (shard: ShardId, sums: TeamSums): ShardLoad => ({
  shard,
  jobCount: sums.jobCount,
  openAttemptCount: sums.openAttemptCount,
  waitingTaskCount: sums.waitingTaskCount,
  usedShare: quotaShare(sums.openFraction),
  demandShare: quotaShare(sums.openFraction + sums.waitingFraction),
  largestTaskShare: quotaShare(sums.largestTaskFraction),
  demandCpus: sums.demandCpus,
  oldestAcceptedAt: sums.oldestAcceptedAt,
});

/** Scales a team's CPU demand in all shards down by the same factor if it exceeds the limit. */
const scaledToLimit = (
  loads: ReadonlyMap<ShardId, ShardLoad> | undefined,
  cpusMax: number,
): ReadonlyMap<ShardId, ShardLoad> => {
  if (loads === undefined) return new Map();
  let cpus = 0;
  for (const load of loads.values()) cpus += load.demandCpus;
  if (cpus <= cpusMax) return loads;
  const scale = cpusMax / cpus;
  return new Map(
    [...loads].map(([shard, load]) => [shard, { ...load, demandCpus: load.demandCpus * scale }]),
  );
};

/**
 * Returns the load of each configured team over all shards; this reads the job pages of all shards.
 */
export const teamLoads = ({ replica, teams }: ControllerContext): readonly TeamLoad[] => {
  const shardsByTeam = new Map<TeamName, Map<ShardId, ShardLoad>>();
  for (const [shard, { index }] of replica.allShardJobs())
    for (const [team, sums] of sumsOfShard(index, teams)) {
      const loads = shardsByTeam.get(team) ?? new Map<ShardId, ShardLoad>();
      shardsByTeam.set(team, loads);
      loads.set(shard, shardLoad(shard, sums));
    }
  const loadsOfTeams: TeamLoad[] = [];
  for (const [team, { cpusMax }] of teams) {
    const home = replica.teams?.value.get(team);
    if (home === undefined) continue;
    const span = replica.spans.records.get(team)?.value;
    const shards = scaledToLimit(shardsByTeam.get(team), cpusMax);
    loadsOfTeams.push({ team, home, span, shards });
  }
  return loadsOfTeams;
};
