/**
 * Jobs that fail on every machine, as reported to the leader by their owners.
 *
 * Owns the expiry time of each report. Demand counts only the open tasks of a failing job, or a
 * single task while none is open, which shows whether the job still fails. Otherwise a job with a
 * fault of its own would occupy all idle machines for its shard and scale the fleet out.
 */
import { type JobId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import { EMPTY_PEER_MESSAGE, encodePeerMessage } from "../../protocol/peer.js";
import { completedTaskCount, type LiveJob } from "../../storage/records.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";
import { type ControllerContext, peerAddress } from "../context.js";
import type { LocalShardOwner } from "./local-shard-owner.js";

/** How long an owner's report of a failing job is valid; owners repeat it more often than that. */
const REPORT_TTL_MS = 8000;
const PEER_CALL_TIMEOUT_MS = 1000;

/** Limits how many tasks of failing jobs count as demand. */
export class FailingJobs {
  /** When the latest report of each failing job expires. */
  readonly #reportExpiry = new Map<JobId, MonotonicMs>();

  /** @param owner detects failing jobs in the shards that this controller owns */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly owner: LocalShardOwner,
    private readonly peers: HttpClient,
  ) {}

  /** Records an owner's report. It expires after a few seconds unless the owner repeats it. */
  recordReport(jobs: Iterable<JobId>): void {
    const expiresAt = monotonicMs(monotonicNow() + REPORT_TTL_MS);
    for (const job of jobs) this.#reportExpiry.set(job, expiresAt);
  }

  /** Reports the failing jobs of this controller's shards to the leader, which may be itself. */
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

  /** How many of a job's tasks, completed ones included, count in demand; all unless it fails. */
  desiredTaskCount(id: JobId, spec: JobSpec): number {
    const expiresAt = this.#reportExpiry.get(id);
    if (expiresAt === undefined) return spec.taskCount;
    if (expiresAt <= monotonicNow()) {
      this.#reportExpiry.delete(id);
      return spec.taskCount;
    }
    const job = this.ctx.replica.job(id);
    if (job === undefined) return 0;
    return Math.min(spec.taskCount, completedTaskCount(job) + Math.max(1, job.open.length));
  }

  /** All live jobs; the task counts of failing jobs are reduced to `desiredTaskCount`. */
  *jobsWithDesiredTasks(): Iterable<readonly [JobId, LiveJob]> {
    for (const [id, job] of this.ctx.replica.allJobs()) {
      const taskCount = this.#reportExpiry.has(id)
        ? this.desiredTaskCount(id, job.spec)
        : job.spec.taskCount;
      yield taskCount === job.spec.taskCount
        ? [id, job]
        : [id, { ...job, spec: { ...job.spec, taskCount } }];
    }
  }
}
