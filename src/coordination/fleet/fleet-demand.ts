/**
 * The demand of all shards for machines.
 *
 * Owns the smoothed level of each demand group. What must hold: levels rise and fall by the time
 * between two plans alone; a look in between, of no time, changes none.
 */
import type { JobId } from "@umberfold/ids";
import { computeDemand } from "../../scheduling/demand.js";
import type { DemandGroup } from "../../scheduling/fleet-plan.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { FailingJobs } from "./failing-jobs.js";
import type { LocalShardOwner } from "./local-shard-owner.js";
import type { MachineTypes } from "./machine-types.js";

/** A job is this old before its owner must have tried to place it on the shard's own machines. */
const PLACED_BY_OWNER_MS = 150;

/** Adds up demand, group by group. */
export class FleetDemand {
  #levels: ReadonlyMap<string, number> = new Map();

  /** @param owner gives expected run times */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly types: MachineTypes,
    private readonly failing: FailingJobs,
    private readonly owner: LocalShardOwner,
  ) {}

  /** The level of each demand group after the newest look, for the log. */
  get levels(): ReadonlyMap<string, number> {
    return this.#levels;
  }

  /** Demand now, `elapsedS` seconds after the look before. */
  groups(elapsedS: number): readonly DemandGroup[] {
    const { replica, settings, operators, teams } = this.ctx;
    const types = this.types.all();
    const demand = computeDemand({
      jobs: this.failing.jobsWithDesiredTasks(),
      shardOf: (id) => replica.shardOf(id),
      teams,
      withinGuarantee: this.withinGuarantee(),
      objectives: settings.objectives,
      runS: (job) => this.owner.state.expectedRunS(job.spec),
      types,
      bootS: Math.min(...types.map((t) => t.bootS)),
      headroom: operators.headroom,
      patience: operators.patience,
      lastPatience: operators.lastPatience,
      riseS: operators.riseS,
      fallS: operators.fallS,
      margin: operators.margin,
      dtS: elapsedS,
      now: wallClockNow(),
      levels: this.#levels,
    });
    this.#levels = demand.levels;
    return demand.groups;
  }

  /** Jobs within their team's guarantee; of one that fails everywhere only the tasks it wants. */
  withinGuarantee(): ReadonlySet<JobId> {
    const { replica, quotas } = this.ctx;
    const jobs = new Set<JobId>();
    for (const [shard, { index }] of replica.allShardJobs())
      for (const id of index.jobsWithinGuarantee(
        quotas.teamsForShard(shard).values(),
        (job, spec) => this.failing.desiredTaskCount(job, spec),
      ))
        jobs.add(id);
    return jobs;
  }

  /** Whether a task waits that its owner must have tried to place on the shard's own machines. */
  hasUnplacedTasks(): boolean {
    const now = wallClockNow();
    for (const [, { index }] of this.ctx.replica.allShardJobs())
      for (const job of index.waitingJobs.values())
        if (now - job.acceptedAt > PLACED_BY_OWNER_MS) return true;
    return false;
  }
}
