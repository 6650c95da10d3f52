import type { JobId, MachineId, TaskId } from "@umberfold/ids";
import { type JobSpec, rankOrder } from "../../protocol/jobs.js";
import { slackS, targetsOf } from "../../scheduling/objectives.js";
import {
  bindsZones,
  occupy,
  type Place,
  permitted,
  placementGroup,
  type ZoneCounts,
} from "../../scheduling/placement.js";
import {
  mayPreempt,
  type PreemptionCandidate,
  PreemptionSearch,
  type PreemptionSource,
  type Standing,
  type Victim,
} from "../../scheduling/preemption.js";
import type { Queued } from "../../scheduling/queue-order.js";
import { fits, minus, plus } from "../../scheduling/resources.js";
import type { LiveJob } from "../../storage/records.js";
import { timeOfDay } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./attempt-termination.js";
import { RESERVATION_MS } from "./candidate-machines.js";

/** Most tasks a round makes room for. */
const MOST_A_ROUND = 24;
/** Most searches a round begins: each looks at all that stands in the shard. */
const MOST_SEARCHES = 16;

/** Preemption within one round of one shard. */
export class PreemptionRound {
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
    private readonly places: ReadonlyMap<MachineId, Place>,
  ) {}

  /** Whether this round makes no more room. */
  get exhausted(): boolean {
    return this.#made >= MOST_A_ROUND;
  }

  /** A search for room for a job's tasks, or undefined if this round begins no more of them. */
  search(
    by: Queued,
    zones: ZoneCounts,
    failedOn: ReadonlySet<MachineId>,
  ): PreemptionSearch | undefined {
    const { spec } = by.job;
    const shared = !bindsZones(spec) && failedOn.size === 0;
    const group = `${placementGroup(spec)}|${spec.rank}|${spec.team}|${by.withinGuarantee}`;
    const known = shared ? this.#searches.get(group) : undefined;
    if (known !== undefined) return known;
    if (this.#begun >= MOST_SEARCHES) return undefined;
    this.#begun++;
    const sources: PreemptionSource[] = [];
    for (const place of this.places.values())
      if (!failedOn.has(place.id) && permitted(spec, place, zones))
        sources.push({
          candidate: () => this.#candidate(by, place),
          // Whatever is started or kept room for on the machine changes its use.
          version: () => place.use,
        });
    const { preemptMaxLossS } = this.owned.ctx.operators;
    const search = new PreemptionSearch(spec.needs, sources, preemptMaxLossS);
    if (shared) this.#searches.set(group, search);
    return search;
  }

  /** Stops what loses least to make room for a task, and keeps the room for it. False: there is none. */
  make(task: TaskId, by: Queued, search: PreemptionSearch): boolean {
    const { owned, round } = this;
    const work = owned.ctx.replica.work(round.shard);
    const room = search.take();
    if (room === null) return false;
    this.#made++;
    for (const victim of room.victims) {
      const o = work.openOn(room.machine).get(victim.task);
      const job = o === undefined ? undefined : work.jobs.get(o.job);
      if (o === undefined || job === undefined) continue;
      owned.stop(o.key, room.machine, "preempted", job.spec.saveS);
      owned.counters.preempted++;
    }
    const place = this.places.get(room.machine);
    // The victims' room is not free before they are gone: the newcomer's need comes on top.
    if (place !== undefined) occupy(place, by.job.spec.needs);
    search.noted(room.machine);
    owned.keep(task, room.machine, RESERVATION_MS);
    round.call.add(room.machine);
    return true;
  }

  #standing(id: JobId, spec: JobSpec): Standing {
    const withinGuarantee = this.withinGuarantee.has(id);
    return { rank: rankOrder(spec.rank), withinGuarantee, team: spec.team };
  }

  #candidate(by: Queued, place: Place): PreemptionCandidate | undefined {
    const { owned, round } = this;
    const work = owned.ctx.replica.work(round.shard);
    const standing = this.#standing(by.id, by.job.spec);
    const victims: Victim[] = [];
    let free = minus(place.capacity, place.use);
    for (const [task, o] of work.openOn(place.id)) {
      const job = work.jobs.get(o.job);
      if (job === undefined) continue;
      const note = owned.attempts.get(o.key);
      const { needs, saveS } = job.spec;
      // On its way out: its room may be kept for somebody, but is not there to start on yet.
      if (job.cancelledAt !== null || note?.stop != null) {
        if (round.closed.get(place.id)?.has(task) !== true) free = plus(free, needs);
        continue;
      }
      if (!mayPreempt(standing, this.#standing(o.job, job.spec))) continue;
      const lossS = owned.lossS(job, note, round.now) + saveS + this.#surchargeOf(o.job, job);
      victims.push({ task, needs, lossS });
    }
    if (victims.length === 0 && !fits(by.job.spec.needs, free)) return undefined;
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
    const ageS = (timeOfDay() - job.acceptedAt) / 1000;
    const slack = slackS(targets, ageS, this.owned.runS(job.spec));
    const surcharge = Math.max(0, operators.spareSlackS - slack);
    this.#surcharge.set(id, surcharge);
    return surcharge;
  }
}
