import { type JobId, type Mono, mono } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import { EMPTY_MESSAGE, encodePeer } from "../../protocol/peer.js";
import { doneCount, type LiveJob } from "../../storage/records.js";
import type { Calls } from "../../transport/client.js";
import { steadyNow } from "../../transport/clock.js";
import { addressOf, type Context } from "../context.js";
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
  readonly #until = new Map<JobId, Mono>();

  constructor(
    private readonly ctx: Context,
    private readonly owner: ShardOwner,
    private readonly peers: Calls,
  ) {}

  note(ids: Iterable<JobId>): void {
    const until = mono(steadyNow() + STANDS_MS);
    for (const id of ids) this.#until.set(id, until);
  }

  /** Tells the leader which jobs of the shards owned here fail; it may be this controller. */
  async tell(): Promise<void> {
    const { replica, settings, me } = this.ctx;
    const failing = [...this.owner.owned.failing()];
    const leader = replica.leader?.value.label;
    if (failing.length === 0 || leader === undefined) return;
    if (leader === me.label) {
      this.note(failing);
      return;
    }
    const address = addressOf(settings, leader);
    if (address === undefined) return;
    const payload = encodePeer({ ...EMPTY_MESSAGE, from: me.label, failing });
    await this.peers.raw(address, "POST", "/peer", payload, PEER_MS);
  }

  /** How many tasks of a job demand counts with. */
  tasksWanted(id: JobId, spec: JobSpec): number {
    const until = this.#until.get(id);
    if (until === undefined) return spec.tasks;
    if (until <= steadyNow()) {
      this.#until.delete(id);
      return spec.tasks;
    }
    const job = this.ctx.replica.job(id);
    if (job === undefined) return 0;
    return Math.min(spec.tasks, doneCount(job) + Math.max(1, job.open.length));
  }

  /** The live jobs as demand sees them. */
  *wanting(): Iterable<readonly [JobId, LiveJob]> {
    for (const [id, job] of this.ctx.replica.allJobs()) {
      const tasks = this.#until.has(id) ? this.tasksWanted(id, job.spec) : job.spec.tasks;
      yield tasks === job.spec.tasks ? [id, job] : [id, { ...job, spec: { ...job.spec, tasks } }];
    }
  }
}
