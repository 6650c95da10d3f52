/**
 * Jobs that fail wherever they are started, as their owners tell the leader.
 *
 * Owns until when each notice is valid. What must hold: a failing job wants room for one task beyond
 * those it has open, to see whether it still fails: with a mistake in it, it would occupy all idle
 * machines for its shard, and scale the fleet out.
 */
import { type JobId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import { EMPTY_PEER_MESSAGE, encodePeerMessage } from "../../protocol/peer.js";
import { completedTaskCount, type LiveJob } from "../../storage/records.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";
import { type ControllerContext, peerAddress } from "../context.js";
import type { LocalShardOwner } from "./local-shard-owner.js";

/** How long an owner's notice that a job fails is valid. */
const REPORT_TTL_MS = 8000;
const PEER_CALL_TIMEOUT_MS = 1000;

/** Limits what failing jobs count for in demand. */
export class FailingJobs {
  readonly #failingUntil = new Map<JobId, MonotonicMs>();

  /** @param owner knows which jobs of the shards owned here fail */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly owner: LocalShardOwner,
    private readonly peers: HttpClient,
  ) {}

  /** Takes in an owner's notice; it is valid for a few seconds, and repeated by its owner. */
  recordReport(jobs: Iterable<JobId>): void {
    const until = monotonicMs(monotonicNow() + REPORT_TTL_MS);
    for (const job of jobs) this.#failingUntil.set(job, until);
  }

  /** Tells the leader which jobs of the shards owned here fail; it may be this controller. */
  async reportToLeader(): Promise<void> {
    const { replica, settings, self } = this.ctx;
    const failing = [...this.owner.state.failingJobs()];
    const leader = replica.leader?.value.label;
    if (failing.length === 0 || leader === undefined) return;
    if (leader === self.label) {
      this.recordReport(failing);
      return;
    }
    const address = peerAddress(settings, leader);
    if (address === undefined) return;
    const payload = encodePeerMessage({ ...EMPTY_PEER_MESSAGE, from: self.label, failing });
    await this.peers.callRaw(address, "POST", "/peer", payload, PEER_CALL_TIMEOUT_MS);
  }

  /** How many tasks of a job demand counts with. */
  desiredTaskCount(id: JobId, spec: JobSpec): number {
    const until = this.#failingUntil.get(id);
    if (until === undefined) return spec.taskCount;
    if (until <= monotonicNow()) {
      this.#failingUntil.delete(id);
      return spec.taskCount;
    }
    const job = this.ctx.replica.job(id);
    if (job === undefined) return 0;
    return Math.min(spec.taskCount, completedTaskCount(job) + Math.max(1, job.open.length));
  }

  /** The live jobs as demand sees them. */
  *jobsWithDesiredTasks(): Iterable<readonly [JobId, LiveJob]> {
    for (const [id, job] of this.ctx.replica.allJobs()) {
      const taskCount = this.#failingUntil.has(id)
        ? this.desiredTaskCount(id, job.spec)
        : job.spec.taskCount;
      yield taskCount === job.spec.taskCount
        ? [id, job]
        : [id, { ...job, spec: { ...job.spec, taskCount } }];
    }
  }
}
