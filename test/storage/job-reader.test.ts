import assert from "node:assert/strict";
import test from "node:test";
import { jobId, revision, teamName, wallClockMs } from "@umberfold/ids";
import type { JobSpec } from "../../src/protocol/jobs.js";
import { type JobLookup, JobReader } from "../../src/storage/job-reader.js";
import { encodeAcceptedJob, encodeFinalJob, keys } from "../../src/storage/records.js";
import { Replica } from "../../src/storage/replica.js";
import { StateStore } from "../../src/storage/state-store.js";
import type { CallResult, HttpClient } from "../../src/transport/client.js";
import { SimulatedClock } from "../sim/clock.js";
import { FakeStateStore } from "../sim/fakes/state-store.js";

/**
 * Many lookups take few requests, and no lookup returns a state older than its call: a user who got
 * a newer state from another controller must never see an older one here.
 */
type Body = Record<string, unknown>;
const spec = (id: string): JobSpec => ({
  id: jobId(id),
  jobClass: "c",
  team: teamName("t"),
  priority: "normal",
  taskCount: 1,
  resources: { cpus: 1, gpus: 0, ramGb: 1 },
  image: "i",
  imageGb: 1,
  machineTypes: null,
  zone: null,
  zoneAffinity: false,
  spreadAcrossZones: false,
  spotAllowed: true,
  expectedRunS: 1,
  checkpointIntervalS: 0,
  checkpointSaveS: 0,
  deadlineS: null,
});

/** What happens to one comparison instead of a prompt answer; in the order of the comparisons. */
type Outcome = "lost" | "late" | "refused" | "first_failed_only";

const MAX_CONDITIONS = 64;

class Setup {
  readonly clock = new SimulatedClock(1);
  readonly state = new FakeStateStore(this.clock);
  readonly replica = new Replica();
  readonly reader: JobReader;
  readonly results = new Map<string, JobLookup>();
  requests = 0;
  outcomes: Outcome[] = [];

  constructor(rps = 1000) {
    const store = new StateStore("s", { rps, writeRps: 100 }, this.#calls(), 1);
    this.reader = new JobReader(store, this.replica, MAX_CONDITIONS);
  }

  #calls(): HttpClient {
    const call = async (
      _address: string,
      method: string,
      path: string,
      body: unknown,
      timeoutMs: number,
    ): Promise<CallResult> => {
      this.requests++;
      const outcome = path === "/txn" ? this.outcomes.shift() : undefined;
      if (outcome === "refused") return { kind: "answer", status: 503, body: {} };
      if (outcome === "lost") {
        await this.clock.sleep(timeoutMs);
        return { kind: "lost" };
      }
      await this.clock.sleep(2);
      const response = await this.state.handle(method, path, body as Body | undefined);
      // The store executes the request now; for "late" only the answer is delayed.
      await this.clock.sleep(outcome === "late" ? 400 : 2);
      const answer = response.body as Body | undefined;
      const failedKeys = answer?.failed;
      const truncated = outcome === "first_failed_only" && Array.isArray(failedKeys);
      const failed = truncated ? { failed: failedKeys.slice(0, 1) } : {};
      return { kind: "answer", status: response.status, body: { ...answer, ...failed } };
    };
    return { call, callRaw: call, close: () => undefined };
  }

  write(ops: readonly Body[]): number {
    void this.state.handle("POST", "/txn", { if: [], apply: ops });
    return this.state.rev;
  }

  /** Writes the record of a live job; `inReplica` says whether the replica learns of it. */
  job(id: string, inReplica = true, cancelledAt: number | null = null): void {
    const value = encodeAcceptedJob({
      spec: spec(id),
      acceptedAt: wallClockMs(1),
      cancelledAt: cancelledAt === null ? null : wallClockMs(cancelledAt),
      shard: null,
    });
    const rev = this.write([{ write: keys.live(jobId(id)), v: value }]);
    if (inReplica)
      this.replica.apply({ kind: "put", key: keys.live(jobId(id)), value, rev: revision(rev) });
  }

  /** Replaces a job's live record by its final one; the replica does not learn of it. */
  finish(id: string): void {
    const key = keys.final(jobId(id));
    this.write([
      { drop: keys.live(jobId(id)) },
      { write: key, v: encodeFinalJob({ phase: "done", done: 1 }) },
    ]);
  }

  /** Starts a lookup of a job; its result is kept under `name`. */
  lookUp(id: string, name = id): void {
    void this.reader.read(jobId(id)).then((found) => this.results.set(name, found));
  }

  /** The result of a lookup as one word; `nothing` while there is none. */
  resultOf(name: string): string {
    const found = this.results.get(name);
    if (found?.kind === "live") return found.job.cancelledAt === null ? "live" : "cancelled";
    return found?.kind ?? "nothing";
  }
}

const ids = Array.from({ length: 300 }, (_, i) => `wk-${i + 1}`);

test("900 lookups of 300 jobs take at most 20 requests", async () => {
  const setup = new Setup();
  for (const id of ids) setup.job(id);
  for (const id of ids) for (let user = 0; user < 3; user++) setup.lookUp(id, `${id}.${user}`);
  await setup.clock.runUntil(2000);
  for (const id of ids) assert.equal(setup.resultOf(`${id}.2`), "live");
  // 64 conditions fit into one request; without batching each lookup would take one.
  assert.ok(setup.requests <= 20, String(setup.requests));
});

const cases: readonly {
  readonly name: string;
  readonly outcomes?: Outcome[];
  readonly run: (setup: Setup) => void;
  readonly expected: Readonly<Record<string, string>>;
}[] = [
  {
    name: "a job that another controller cancelled is found cancelled",
    run: (setup) => {
      setup.job("wk-1");
      setup.job("wk-2");
      setup.job("wk-2", false, 5);
      setup.lookUp("wk-1");
      setup.lookUp("wk-2");
    },
    expected: { "wk-1": "live", "wk-2": "cancelled" },
  },
  {
    name: "after a conflict that names one of two changed jobs both are found cancelled",
    outcomes: ["first_failed_only", "first_failed_only"],
    run: (setup) => {
      for (const id of ["wk-1", "wk-2", "wk-3"]) setup.job(id);
      for (const id of ["wk-1", "wk-3"]) setup.job(id, false, 5);
      for (const id of ["wk-1", "wk-2", "wk-3"]) setup.lookUp(id);
    },
    expected: { "wk-1": "cancelled", "wk-2": "live", "wk-3": "cancelled" },
  },
  {
    name: "a finished job is final, one that the replica lacks is live, an unknown one is none",
    run: (setup) => {
      setup.job("wk-1");
      setup.finish("wk-1");
      setup.job("wk-2", false);
      for (const id of ["wk-1", "wk-2", "wk-3"]) setup.lookUp(id);
    },
    expected: { "wk-1": "final", "wk-2": "live", "wk-3": "none" },
  },
  {
    name: "a lookup that begins while a comparison is in flight is not resolved by it",
    outcomes: ["late"],
    run: (setup) => {
      setup.job("wk-1");
      setup.lookUp("wk-1", "first");
      // By now the store has executed the first comparison; then another controller cancels.
      setup.clock.after(100, () => {
        setup.job("wk-1", false, 5);
        setup.lookUp("wk-1", "second");
      });
    },
    expected: { first: "live", second: "cancelled" },
  },
  {
    name: "a comparison without an answer makes only its own lookups unavailable",
    outcomes: ["lost"],
    run: (setup) => {
      setup.job("wk-1");
      setup.lookUp("wk-1", "first");
      setup.clock.after(100, () => setup.lookUp("wk-1", "second"));
    },
    expected: { first: "unavailable", second: "live" },
  },
  {
    name: "an answer of 503 makes the lookup unavailable",
    outcomes: ["refused"],
    run: (setup) => {
      setup.job("wk-1");
      setup.lookUp("wk-1");
    },
    expected: { "wk-1": "unavailable" },
  },
];

for (const c of cases)
  test(`a batch of lookups: ${c.name}`, async () => {
    const setup = new Setup();
    setup.outcomes = c.outcomes ?? [];
    c.run(setup);
    await setup.clock.runUntil(4000);
    for (const [name, expected] of Object.entries(c.expected))
      assert.equal(setup.resultOf(name), expected, name);
  });

test("a lookup for which there is no request budget is unavailable within 600 ms", async () => {
  const setup = new Setup(1);
  for (const id of ids.slice(0, 5)) setup.job(id);
  setup.lookUp("wk-1");
  setup.clock.after(30, () => setup.lookUp("wk-2"));
  await setup.clock.runUntil(600);
  assert.equal(setup.resultOf("wk-1"), "live");
  assert.equal(setup.resultOf("wk-2"), "unavailable");
});
