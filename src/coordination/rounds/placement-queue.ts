/**
 * The queue step of placement: finds the jobs of a shard with waiting tasks and orders them. Keeps
 * no state between calls.
 */
import type { JobId, MachineId } from "@umberfold/ids";
import type { CandidateMachine } from "../../scheduling/placement.js";
import { orderQueue, type QueuedJob, type WaitingJob } from "../../scheduling/queue-order.js";
import { type LiveJob, waitingTaskCount } from "../../storage/records.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./shard-round.js";

/** The jobs of the shard with waiting tasks, including the changes that this round has made. */
export function* waitingJobs(
  state: ShardState,
  round: ShardRound,
): Generator<readonly [JobId, LiveJob], void> {
  const { index } = state.ctx.replica.shardJobs(round.shard);
  for (const [id, job] of index.waitingJobs) if (!round.drafts.has(id)) yield [id, job];
  for (const [id, job] of round.drafts) if (waitingTaskCount(job) > 0) yield [id, job];
}

/** Estimates how long a start is delayed by fetching the container image. */
class ImageFetchEstimate {
  readonly #mostlyCachedByImage = new Map<string, boolean>();
  readonly #meanGbPerS: number;

  constructor(
    fetchGbPerS: readonly number[],
    private readonly candidates: ReadonlyMap<MachineId, CandidateMachine>,
  ) {
    const sum = fetchGbPerS.reduce((total, rate) => total + rate, 0);
    this.#meanGbPerS = sum / Math.max(1, fetchGbPerS.length);
  }

  /**
   * The expected fetch time of an image in seconds, at the mean rate of all machine types; 0 if
   * most candidates have it in their cache.
   */
  fetchS(image: string, imageGb: number): number {
    return this.#meanGbPerS > 0 && !this.#isMostlyCached(image) ? imageGb / this.#meanGbPerS : 0;
  }

  /** Whether more than half of the candidates have the image in their cache. */
  #isMostlyCached(image: string): boolean {
    const cached = this.#mostlyCachedByImage.get(image);
    if (cached !== undefined) return cached;
    let machinesWithImage = 0;
    for (const { images } of this.candidates.values()) if (images.has(image)) machinesWithImage++;
    const isMostlyCached = 2 * machinesWithImage > this.candidates.size;
    this.#mostlyCachedByImage.set(image, isMostlyCached);
    return isMostlyCached;
  }
}

/**
 * The jobs of the shard with waiting tasks and no backoff in force, in the order of placement.
 *
 * @param withinGuarantee jobs within their teams' guarantees
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
  return orderQueue(waiting, settings.objectives, operators.overdueAfterS);
};
