import type { JobId, MachineId, TaskId } from "../protocol/ids.js";
import { type JobSpec, rankOrder } from "../protocol/jobs.js";
import { slackS, targetsOf } from "../scheduling/objectives.js";
import type { Queued } from "../scheduling/order.js";
import {
  bindsZones,
  type Place,
  permitted,
  placementGroup,
  type ZoneCounts,
} from "../scheduling/placement.js";
import {
  mayPreempt,
  type PreemptionCandidate,
  PreemptionSearch,
  type Standing,
  type Victim,
} from "../scheduling/preemption.js";
import { fits, minus, plus } from "../scheduling/resources.js";
import type { LiveJob } from "../storage/records.js";
import { timeOfDay } from "../transport/clock.js";
import type { ShareRound } from "./closing.js";
import type { Held } from "./held.js";
import { RESERVATION_MS } from "./places.js";
import { attemptKey } from "./session.js";

/** Most tasks a round makes room for: each looks at all that stands in the shard. */
const MOST_A_ROUND = 24;

/** Preemption within one round of one shard. */
export class PreemptionRound {
  #made = 0;
  /** What a job's tasks cost beyond the work they lose: worked out once a job. */
  readonly #surcharge = new Map<JobId, number>();
  /** Groups of jobs for which no room could be made, since the last room that was. */
  readonly #hopeless = new Set<string>();

  constructor(
    private readonly held: Held,
    private readonly round: ShareRound,
    private readonly withinGuarantee: ReadonlySet<JobId>,
  ) {}

  /** Whether this round makes no more room. */
  get exhausted(): boolean {
    return this.#made >= MOST_A_ROUND;
  }

  /** Whether room for the like of this job was looked for in vain. */
  hopeless(by: Queued): boolean {
    return !bindsZones(by.job.spec) && this.#hopeless.has(this.#group(by));
  }

  /** A search over these machines, to be used for the tasks of one job. */
  search(by: Queued, places: Iterable<Place>, zones: ZoneCounts): PreemptionSearch {
    const candidates: PreemptionCandidate[] = [];
    for (const place of places) {
      if (!permitted(by.job.spec, place, zones)) continue;
      const candidate = this.#candidate(by, place);
      if (candidate.victims.length > 0 || fits(by.job.spec.needs, candidate.free))
        candidates.push(candidate);
    }
    const { preemptMaxLossS } = this.held.ctx.operators;
    return new PreemptionSearch(by.job.spec.needs, candidates, preemptMaxLossS);
  }

  /**
   * Stops what loses least to make room for a task, and keeps the room for it. The machine, or
   * null; `all` says that the search went over every machine, so that nothing like it need be tried.
   */
  make(task: TaskId, by: Queued, search: PreemptionSearch, all: boolean): MachineId | null {
    const { held, round } = this;
    const work = held.ctx.replica.work(round.share);
    const room = search.take();
    if (room === null) {
      if (all) this.#hopeless.add(this.#group(by));
      return null;
    }
    this.#made++;
    this.#hopeless.clear();
    for (const victim of room.victims) {
      const o = work.openOn(room.machine).get(victim.task);
      const job = o === undefined ? undefined : work.jobs.get(o.job);
      if (o === undefined || job === undefined) continue;
      held.stop(attemptKey(victim.task, o.attempt), room.machine, "preempted", job.spec.saveS);
      held.counters.preempted++;
    }
    held.keep(task, room.machine, RESERVATION_MS);
    round.call.add(room.machine);
    return room.machine;
  }

  #group({ job, withinGuarantee }: Queued): string {
    const { spec } = job;
    return `${placementGroup(spec)}|${spec.rank}|${spec.team}|${withinGuarantee}`;
  }

  #standing(id: JobId, spec: JobSpec): Standing {
    const withinGuarantee = this.withinGuarantee.has(id);
    return { rank: rankOrder(spec.rank), withinGuarantee, team: spec.team };
  }

  #candidate(by: Queued, place: Place): PreemptionCandidate {
    const { held, round } = this;
    const work = held.ctx.replica.work(round.share);
    const standing = this.#standing(by.id, by.job.spec);
    const victims: Victim[] = [];
    let free = minus(place.capacity, place.use);
    for (const [task, o] of work.openOn(place.id)) {
      const job = work.jobs.get(o.job);
      if (job === undefined) continue;
      const note = held.attempts.get(attemptKey(task, o.attempt));
      const { needs, saveS } = job.spec;
      // On its way out: its room may be kept for somebody, but is not there to start on yet.
      if (job.cancelledAt !== null || note?.stop != null) {
        if (round.closed.get(place.id)?.has(task) !== true) free = plus(free, needs);
        continue;
      }
      if (!mayPreempt(standing, this.#standing(o.job, job.spec))) continue;
      const lossS = held.lossS(job, note, round.now) + saveS + this.#surchargeOf(o.job, job);
      victims.push({ task, needs, lossS });
    }
    return { id: place.id, free, victims };
  }

  /**
   * The nearer a victim's own objective, the dearer: else the same young tasks of the same jobs are
   * stopped again and again, each time at little loss, until their job is late.
   */
  #surchargeOf(id: JobId, job: LiveJob): number {
    const known = this.#surcharge.get(id);
    if (known !== undefined) return known;
    const { operators, settings } = this.held.ctx;
    const targets = targetsOf(job.spec, settings.objectives, this.withinGuarantee.has(id));
    const ageS = (timeOfDay() - job.acceptedAt) / 1000;
    const slack = slackS(targets, ageS, this.held.runS(job.spec));
    const surcharge = Math.max(0, operators.spareSlackS - slack);
    this.#surcharge.set(id, surcharge);
    return surcharge;
  }
}
