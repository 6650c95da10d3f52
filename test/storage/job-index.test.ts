/** A shard's job index must always equal the result of a full scan over its live jobs. */
import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, type JobId, jobId, machineId, revision, wallClockMs } from "@umberfold/ids";
import { encodeJobPage } from "../../src/storage/pages.js";
import { rangesCount } from "../../src/storage/ranges.js";
import {
  type AcceptedJob,
  type JobProgress,
  type LiveJob,
  waitingTaskCount,
} from "../../src/storage/records.js";
import { ShardJobs } from "../../src/storage/shard-jobs.js";
import { type RandomSource, randomSource, randomSpec, TEAMS } from "../support/random-jobs.js";

/** The expected content of the index, computed by a full scan over the shard's live jobs. */
const fullScan = (jobs: ReadonlyMap<string, LiveJob>) => {
  const ordered = [...jobs].filter(([, j]) => j.cancelledAt === null);
  ordered.sort(([, a], [, b]) => a.acceptedAt - b.acceptedAt);
  const acceptedCpus = new Map<string, number>();
  const withinGuarantee: string[] = [];
  const usedCpus = new Map<string, number>();
  for (const [id, j] of ordered) {
    const { cpus } = TEAMS.find((t) => t.name === j.spec.team) ?? { cpus: 0 };
    const sum = (acceptedCpus.get(j.spec.team) ?? 0) + j.spec.taskCount * j.spec.resources.cpus;
    acceptedCpus.set(j.spec.team, sum);
    if (cpus > 0 && sum <= cpus) withinGuarantee.push(id);
  }
  for (const j of jobs.values())
    if (j.open.length > 0)
      usedCpus.set(
        j.spec.team,
        (usedCpus.get(j.spec.team) ?? 0) + j.open.length * j.spec.resources.cpus,
      );
  return {
    waiting: [...jobs].filter(([, j]) => waitingTaskCount(j) > 0).map(([id]) => id),
    cancelled: [...jobs].filter(([, j]) => j.cancelledAt !== null).map(([id]) => id),
    complete: [...jobs]
      .filter(([, j]) => j.cancelledAt === null && rangesCount(j.done) === j.spec.taskCount)
      .map(([id]) => id),
    taskCpus: [...new Set([...jobs.values()].map((j) => j.spec.resources.cpus))],
    withinGuarantee,
    usedCpus: [...usedCpus],
  };
};

/** Changes accepted jobs and their pages at random and applies the changes to `shardJobs`. */
class RandomShard {
  readonly #random: RandomSource;
  readonly #accepted = new Map<string, AcceptedJob>();
  readonly #pages = [new Map<JobId, JobProgress>(), new Map<JobId, JobProgress>()];
  readonly shardJobs = new ShardJobs((id) => this.#accepted.get(id));

  constructor(seed: number) {
    this.#random = randomSource(seed);
  }

  change(step: number): void {
    const id = jobId(`wk-${this.#random.below(25)}`);
    const known = this.#accepted.get(id);
    const page = this.#pages[this.#random.below(2)] as Map<JobId, JobProgress>;
    if (known === undefined) this.#accept(id, step);
    else if (this.#random.unit() < 0.1)
      this.#accepted.set(id, { ...known, cancelledAt: wallClockMs(step) });
    else if (this.#random.unit() < 0.15) this.#remove(id);
    else this.#progress(id, known, page, step);
    this.shardJobs.jobChanged(id);
    for (const [n, changed] of this.#pages.entries())
      this.shardJobs.pageChanged(`now/work/0/${n}`, encodeJobPage(changed), revision(step));
  }

  #accept(id: JobId, step: number): void {
    const spec = randomSpec(this.#random, id);
    const acceptedAt = wallClockMs(this.#random.below(1e6) + step / 1000);
    this.#accepted.set(id, { spec, acceptedAt, cancelledAt: null, shard: null });
  }

  #remove(id: JobId): void {
    this.#accepted.delete(id);
    for (const page of this.#pages) page.delete(id);
  }

  /** Rewrites a job's progress, which may move the job with its open attempts to another page. */
  #progress(id: JobId, job: AcceptedJob, page: Map<JobId, JobProgress>, step: number): void {
    const { taskCount } = job.spec;
    for (const other of this.#pages) other.delete(id);
    const open = Array.from({ length: this.#random.below(taskCount + 1) }, (_, index) => ({
      index,
      attempt: attemptNumber(step),
      machine: machineId(`m-${this.#random.below(4)}`),
    }));
    const done = open.length === 0 && this.#random.unit() < 0.5 ? [0, taskCount - 1] : [];
    page.set(id, { done, open, nextAttempt: step });
  }
}

const assertEqualToFullScan = ({ index, jobs }: ShardJobs, moment: string): void => {
  const expected = fullScan(jobs);
  const actual = {
    waiting: [...index.waitingJobs.keys()],
    cancelled: [...index.cancelledJobs.keys()],
    complete: [...index.completedJobs.keys()],
    taskCpus: [...index.distinctResources()].map((resources) => resources.cpus),
    withinGuarantee: [...index.jobsWithinGuarantee(TEAMS)],
    usedCpus: [...index.usedResourcesByTeam()].map(
      ([team, resources]) => [team, resources.cpus] as const,
    ),
  };
  for (const key of Object.keys(expected) as (keyof typeof expected)[])
    assert.deepEqual([...actual[key]].sort(), [...expected[key]].sort(), `${key} ${moment}`);
  for (const [key, job] of index.waitingJobs) assert.equal(job, jobs.get(key));
};

test("a shard's job index equals a full scan after each of 2000 random changes", () => {
  for (let seed = 1; seed <= 8; seed++) {
    const shard = new RandomShard(seed);
    for (let step = 1; step <= 250; step++) {
      shard.change(step);
      assertEqualToFullScan(shard.shardJobs, `${seed}/${step}`);
    }
  }
});
