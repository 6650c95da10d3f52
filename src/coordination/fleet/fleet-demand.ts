/**
 * The demand of all shards for machines.
 *
 * Owns the smoothed demand level of each demand group. Smoothing advances only by the time between
 * two plans: a rebalance computes the demand with an elapsed time of 0, which leaves the smoothed
 * levels of known groups unchanged.
 */
import type { JobId } from "@umberfold/ids";
import { computeDemand } from "../../scheduling/demand.js";
import type { DemandGroup } from "../../scheduling/fleet-plan.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { FailingJobs } from "./failing-jobs.js";
import type { LocalShardOwner } from "./local-shard-owner.js";
import type { MachineTypes } from "./machine-types.js";

/**
 * Once this much time has passed since a job was accepted, its owner is assumed to have tried to
 * place it on the shard's own machines.
 */
const OWNER_PLACEMENT_DELAY_MS = 150;

/** Computes the demand of each demand group. */
export class FleetDemand {
  #smoothedLevels: ReadonlyMap<string, number> = new Map();

  /** @param owner estimates the run times of tasks */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly machineTypes: MachineTypes,
    private readonly failingJobs: FailingJobs,
    private readonly owner: LocalShardOwner,
  ) {}

  /** The demand levels of the latest computation, for the log. */
  get smoothedLevels(): ReadonlyMap<string, number> {
    return this.#smoothedLevels;
  }

  /**
   * Computes the current demand and updates the smoothed levels.
   *
   * @param elapsedS seconds by which the smoothing advances
   */
  computeGroups(elapsedS: number): readonly DemandGroup[] {
    const { replica, settings, operators, teams } = this.ctx;
    const types = this.machineTypes.all();
    const demand = computeDemand({
      jobs: this.failingJobs.jobsWithDesiredTasks(),
      shardOf: (id) => replica.shardOf(id),
      teams,
      withinGuarantee: this.jobsWithinGuarantee(),
      objectives: settings.objectives,
      expectedRunS: (job) => this.owner.state.expectedRunS(job.spec),
      types,
      fastestBootS: Math.min(...types.map((type) => type.bootS)),
      headroomFraction: operators.urgentHeadroomFraction,
      desiredSlackFraction: operators.maxWaitFraction,
      requiredSlackFraction: operators.maxWaitFractionIfCostly,
      riseTimeConstantS: operators.forecastRiseS,
      fallTimeConstantS: operators.forecastFallS,
      capacityFactor: operators.demandMarginFactor,
      elapsedS,
      now: wallClockNow(),
      levels: this.#smoothedLevels,
    });
    this.#smoothedLevels = demand.levels;
    return demand.groups;
  }

  /** Jobs within their team's guarantee; failing jobs count with `desiredTaskCount` tasks only. */
  jobsWithinGuarantee(): ReadonlySet<JobId> {
    const { replica, quotas } = this.ctx;
    const jobs = new Set<JobId>();
    for (const [shard, { index }] of replica.allShardJobs())
      for (const id of index.jobsWithinGuarantee(
        quotas.teamsForShard(shard).values(),
        (job, spec) => this.failingJobs.desiredTaskCount(job, spec),
      ))
        jobs.add(id);
    return jobs;
  }

  /** Whether any task is still waiting that its owner has had time to place on its own machines. */
  hasUnplacedTasks(): boolean {
    const now = wallClockNow();
    for (const [, { index }] of this.ctx.replica.allShardJobs())
      for (const job of index.waitingJobs.values())
        if (now - job.acceptedAt > OWNER_PLACEMENT_DELAY_MS) return true;
    return false;
  }
}
