import type { JobId, MachineId, TaskId } from "@umberfold/ids";
import { type JobSpec, priorityOrder } from "../../protocol/jobs.js";
import { slackS, targetsOf } from "../../scheduling/objectives.js";
import {
  addUse,
  type CandidateMachine,
  hasZoneRules,
  isPermitted,
  placementGroupKey,
  type ZoneCounts,
} from "../../scheduling/placement.js";
import {
  mayPreempt,
  type PreemptionCandidate,
  type PreemptionContext,
  PreemptionSearch,
  type PreemptionSource,
  type Victim,
} from "../../scheduling/preemption.js";
import type { QueuedJob } from "../../scheduling/queue-order.js";
import { add, fits, subtract } from "../../scheduling/resources.js";
import type { LiveJob } from "../../storage/records.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./attempt-termination.js";
import { RESERVATION_MS } from "./candidate-machines.js";

/** Most tasks a round makes room for. */
const MOST_A_ROUND = 24;
/** Most searches a round begins: each looks at all that stands in the shard. */
const MOST_SEARCHES = 16;

/** Preemption within one round of one shard. */
export class PreemptionPhase {
  #made = 0;
  #begun = 0;
  /** What a job's tasks cost beyond the work they lose: worked out once a job. */
  readonly #surcharge = new Map<JobId, number>();
  /** Searches by group: like jobs go on where the one before them stopped. */
  readonly #searches = new Map<string, PreemptionSearch>();

  constructor(
    private readonly owned: ShardState,
    private readonly round: ShardRound,
    private readonly withinGuarantee: ReadonlySet<JobId>,
    private readonly places: ReadonlyMap<MachineId, CandidateMachine>,
  ) {}

  /** Whether this round makes no more room. */
  get exhausted(): boolean {
    return this.#made >= MOST_A_ROUND;
  }

  /** A search for room for a job's tasks, or undefined if this round begins no more of them. */
  search(
    by: QueuedJob,
    zones: ZoneCounts,
    failedOn: ReadonlySet<MachineId>,
  ): PreemptionSearch | undefined {
    const { spec } = by.job;
    const shared = !hasZoneRules(spec) && failedOn.size === 0;
    const group = `${placementGroupKey(spec)}|${spec.priority}|${spec.team}|${by.withinGuarantee}`;
    const known = shared ? this.#searches.get(group) : undefined;
    if (known !== undefined) return known;
    if (this.#begun >= MOST_SEARCHES) return undefined;
    this.#begun++;
    const sources: PreemptionSource[] = [];
    for (const place of this.places.values())
      if (!failedOn.has(place.id) && isPermitted(spec, place, zones))
        sources.push({
          candidate: () => this.#candidate(by, place),
          // Whatever is started or kept room for on the machine changes its use.
          version: () => place.use,
        });
    const { preemptMaxLossS } = this.owned.ctx.operators;
    const search = new PreemptionSearch(spec.resources, sources, preemptMaxLossS);
    if (shared) this.#searches.set(group, search);
    return search;
  }

  /** Stops what loses least to make room for a task, and keeps the room for it. False: there is none. */
  make(task: TaskId, by: QueuedJob, search: PreemptionSearch): boolean {
    const { owned, round } = this;
    const work = owned.ctx.replica.shardJobs(round.shard);
    const room = search.take();
    if (room === null) return false;
    this.#made++;
    for (const victim of room.victims) {
      const o = work.openAttemptsOn(room.machine).get(victim.task);
      const job = o === undefined ? undefined : work.jobs.get(o.job);
      if (o === undefined || job === undefined) continue;
      owned.stop(o.key, room.machine, "preempted", job.spec.checkpointSaveS);
      owned.counters.preempted++;
    }
    const place = this.places.get(room.machine);
    // The victims' room is not free before they are gone: the newcomer's need comes on top.
    if (place !== undefined) addUse(place, by.job.spec.resources);
    search.noted(room.machine);
    owned.reserve(task, room.machine, RESERVATION_MS);
    round.machinesToCall.add(room.machine);
    return true;
  }

  #standing(id: JobId, spec: JobSpec): PreemptionContext {
    const withinGuarantee = this.withinGuarantee.has(id);
    return { priority: priorityOrder(spec.priority), withinGuarantee, team: spec.team };
  }

  #candidate(by: QueuedJob, place: CandidateMachine): PreemptionCandidate | undefined {
    const { owned, round } = this;
    const work = owned.ctx.replica.shardJobs(round.shard);
    const standing = this.#standing(by.id, by.job.spec);
    const victims: Victim[] = [];
    let free = subtract(place.capacity, place.use);
    for (const [task, o] of work.openAttemptsOn(place.id)) {
      const job = work.jobs.get(o.job);
      if (job === undefined) continue;
      const note = owned.attemptStates.get(o.key);
      const { resources, checkpointSaveS } = job.spec;
      // On its way out: its room may be kept for somebody, but is not there to start on yet.
      if (job.cancelledAt !== null || note?.stopRequest != null) {
        if (round.terminatedByMachine.get(place.id)?.has(task) !== true)
          free = add(free, resources);
        continue;
      }
      if (!mayPreempt(standing, this.#standing(o.job, job.spec))) continue;
      const lossS =
        owned.lossS(job, note, round.now) + checkpointSaveS + this.#surchargeOf(o.job, job);
      victims.push({ task, resources: resources, lossS });
    }
    if (victims.length === 0 && !fits(by.job.spec.resources, free)) return undefined;
    return { id: place.id, free, victims };
  }

  /**
   * The nearer a victim's own objective, the dearer: else the same young tasks of the same jobs are
   * stopped again and again, each time at little loss, until their job is late.
   */
  #surchargeOf(id: JobId, job: LiveJob): number {
    const known = this.#surcharge.get(id);
    if (known !== undefined) return known;
    const { operators, settings } = this.owned.ctx;
    const targets = targetsOf(job.spec, settings.objectives, this.withinGuarantee.has(id));
    const ageS = (wallClockNow() - job.acceptedAt) / 1000;
    const slack = slackS(targets, ageS, this.owned.expectedRunS(job.spec));
    const surcharge = Math.max(0, operators.spareSlackS - slack);
    this.#surcharge.set(id, surcharge);
    return surcharge;
  }
}
