import { type JobId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import { EMPTY_PEER_MESSAGE, encodePeerMessage } from "../../protocol/peer.js";
import { completedTaskCount, type LiveJob } from "../../storage/records.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";
import { type ControllerContext, peerAddress } from "../context.js";
import type { ShardOwner } from "../rounds/shard-owner.js";

/** How long an owner's notice that a job fails stands. */
const STANDS_MS = 8000;
const PEER_MS = 1000;

/**
 * Jobs that fail wherever they are started, as their owners tell the leader. Such a job wants
 * room for one task, to see whether it still fails: with a mistake in it it would hold all idle
 * machines for its shard, and pull the fleet up.
 */
export class FailingJobs {
  readonly #until = new Map<JobId, MonotonicMs>();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly owner: ShardOwner,
    private readonly peers: HttpClient,
  ) {}

  record(ids: Iterable<JobId>): void {
    const until = monotonicMs(monotonicNow() + STANDS_MS);
    for (const id of ids) this.#until.set(id, until);
  }

  /** Tells the leader which jobs of the shards owned here fail; it may be this controller. */
  async reportToLeader(): Promise<void> {
    const { replica, settings, self } = this.ctx;
    const failing = [...this.owner.state.failingJobs()];
    const leader = replica.leader?.value.label;
    if (failing.length === 0 || leader === undefined) return;
    if (leader === self.label) {
      this.record(failing);
      return;
    }
    const address = peerAddress(settings, leader);
    if (address === undefined) return;
    const payload = encodePeerMessage({ ...EMPTY_PEER_MESSAGE, from: self.label, failing });
    await this.peers.callRaw(address, "POST", "/peer", payload, PEER_MS);
  }

  /** How many tasks of a job demand counts with. */
  desiredTaskCount(id: JobId, spec: JobSpec): number {
    const until = this.#until.get(id);
    if (until === undefined) return spec.taskCount;
    if (until <= monotonicNow()) {
      this.#until.delete(id);
      return spec.taskCount;
    }
    const job = this.ctx.replica.job(id);
    if (job === undefined) return 0;
    return Math.min(spec.taskCount, completedTaskCount(job) + Math.max(1, job.open.length));
  }

  /** The live jobs as demand sees them. */
  *jobsWithDesiredTasks(): Iterable<readonly [JobId, LiveJob]> {
    for (const [id, job] of this.ctx.replica.allJobs()) {
      const taskCount = this.#until.has(id)
        ? this.desiredTaskCount(id, job.spec)
        : job.spec.taskCount;
      yield taskCount === job.spec.taskCount
        ? [id, job]
        : [id, { ...job, spec: { ...job.spec, taskCount } }];
    }
  }
}
