/**
 * The queue step of placement: which jobs of a shard have waiting tasks, and in which order they are
 * placed. Owns no state beyond one call.
 */
import type { JobId, MachineId } from "@umberfold/ids";
import type { CandidateMachine } from "../../scheduling/placement.js";
import { orderQueue, type QueuedJob, type WaitingJob } from "../../scheduling/queue-order.js";
import { type LiveJob, waitingTaskCount } from "../../storage/records.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./shard-round.js";

/** Jobs of the shard with waiting tasks, as this round will write them. */
export function* waitingJobs(
  state: ShardState,
  round: ShardRound,
): Generator<readonly [JobId, LiveJob], void> {
  const { waiting } = state.ctx.replica.shardJobs(round.shard).index;
  for (const [id, job] of waiting) if (!round.drafts.has(id)) yield [id, job];
  for (const [id, job] of round.drafts) if (waitingTaskCount(job) > 0) yield [id, job];
}

/** Image fetch times as a round reckons with them. */
class ImageFetchEstimate {
  readonly #isMostlyCached = new Map<string, boolean>();
  readonly #meanGbPerS: number;

  constructor(
    fetchGbPerS: readonly number[],
    private readonly candidates: ReadonlyMap<MachineId, CandidateMachine>,
  ) {
    const sum = fetchGbPerS.reduce((total, rate) => total + rate, 0);
    this.#meanGbPerS = sum / Math.max(1, fetchGbPerS.length);
  }

  /** Seconds to fetch the image, at the mean rate of all machine types. */
  fetchS(image: string, imageGb: number): number {
    return this.#meanGbPerS > 0 && !this.#mostlyCached(image) ? imageGb / this.#meanGbPerS : 0;
  }

  /** Whether most candidates have the image, so that no fetch is expected. */
  #mostlyCached(image: string): boolean {
    const known = this.#isMostlyCached.get(image);
    if (known !== undefined) return known;
    let machinesWithImage = 0;
    for (const { images } of this.candidates.values()) if (images.has(image)) machinesWithImage++;
    const isMostlyCached = 2 * machinesWithImage > this.candidates.size;
    this.#isMostlyCached.set(image, isMostlyCached);
    return isMostlyCached;
  }
}

/**
 * The waiting jobs of the shard that are not backed off, in the order in which they are placed.
 *
 * @param withinGuarantee jobs that their teams' guarantees cover
 */
export const placementQueue = (
  state: ShardState,
  round: ShardRound,
  candidates: ReadonlyMap<MachineId, CandidateMachine>,
  withinGuarantee: ReadonlySet<JobId>,
): readonly QueuedJob[] => {
  const { replica, settings, operators } = state.ctx;
  const now = wallClockNow();
  const fetchGbPerS = (replica.machineTypes?.value ?? []).map((type) => type.fetchGbPerS);
  const imageFetch = new ImageFetchEstimate(fetchGbPerS, candidates);
  const waiting: WaitingJob[] = [];
  for (const [id, job] of waitingJobs(state, round)) {
    if ((state.jobBackoffs.get(id)?.retryAt ?? 0) > round.now) continue;
    const { image, imageGb } = job.spec;
    waiting.push({
      id,
      job,
      ageS: (now - job.acceptedAt) / 1000,
      imageFetchS: imageFetch.fetchS(image, imageGb),
      expectedRunS: state.expectedRunS(job.spec),
      withinGuarantee: withinGuarantee.has(id),
    });
  }
  return orderQueue(waiting, settings.objectives, operators.overdueS);
};
