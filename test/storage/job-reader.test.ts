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
 * Many questions cost few requests, and no answer is older than the question: a user who was
 * answered by another controller must never get an older state here.
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

/** What the state store does with the n-th comparison, instead of answering it at once. */
type Outcome = "lost" | "late" | "refused" | "first_failed_only";

const MAX_CONDITIONS = 64;

class Setup {
  readonly clock = new SimulatedClock(1);
  readonly state = new FakeStateStore(this.clock);
  readonly replica = new Replica();
  readonly reader: JobReader;
  readonly answers = new Map<string, JobLookup>();
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
      // Executed at once, and its answer is late.
      await this.clock.sleep(outcome === "late" ? 400 : 2);
      const answer = response.body as Body | undefined;
      const failedKeys = answer?.failed;
      const cut = outcome === "first_failed_only" && Array.isArray(failedKeys);
      const failed = cut ? { failed: failedKeys.slice(0, 1) } : {};
      return { kind: "answer", status: response.status, body: { ...answer, ...failed } };
    };
    return { call, callRaw: call, close: () => undefined };
  }

  write(ops: readonly Body[]): number {
    void this.state.handle("POST", "/txn", { if: [], apply: ops });
    return this.state.revision;
  }

  /** Writes the record of a live job, and brings it to the replica unless told otherwise. */
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

  /** Writes the final record of a job; the replica is not told. */
  finish(id: string): void {
    const key = keys.final(jobId(id));
    this.write([
      { drop: keys.live(jobId(id)) },
      { write: key, v: encodeFinalJob({ phase: "done", done: 1 }) },
    ]);
  }

  /** Asks about a job; `as` names the question. */
  ask(id: string, as = id): void {
    void this.reader.read(jobId(id)).then((found) => this.answers.set(as, found));
  }

  /** The answer to a question, or `nothing` while there is none. */
  answerTo(as: string): string {
    const found = this.answers.get(as);
    if (found?.kind === "live") return found.job.cancelledAt === null ? "live" : "cancelled";
    return found?.kind ?? "nothing";
  }
}

const ids = Array.from({ length: 300 }, (_, i) => `wk-${i + 1}`);

test("900 questions about 300 jobs take at most 20 requests", async () => {
  const setup = new Setup();
  for (const id of ids) setup.job(id);
  for (const id of ids) for (let user = 0; user < 3; user++) setup.ask(id, `${id}.${user}`);
  await setup.clock.runUntil(2000);
  for (const id of ids) assert.equal(setup.answerTo(`${id}.2`), "live");
  // 900 questions, 64 conditions a request; each was a request by itself.
  assert.ok(setup.requests <= 20, String(setup.requests));
});

const cases: readonly {
  readonly name: string;
  readonly outcomes?: Outcome[];
  readonly run: (setup: Setup) => void;
  readonly expected: Readonly<Record<string, string>>;
}[] = [
  {
    name: "a job that another controller cancelled is answered as cancelled",
    run: (setup) => {
      setup.job("wk-1");
      setup.job("wk-2");
      setup.job("wk-2", false, 5);
      setup.ask("wk-1");
      setup.ask("wk-2");
    },
    expected: { "wk-1": "live", "wk-2": "cancelled" },
  },
  {
    name: "a conflict that names one of two changed jobs answers both as cancelled",
    outcomes: ["first_failed_only", "first_failed_only"],
    run: (setup) => {
      for (const id of ["wk-1", "wk-2", "wk-3"]) setup.job(id);
      for (const id of ["wk-1", "wk-3"]) setup.job(id, false, 5);
      for (const id of ["wk-1", "wk-2", "wk-3"]) setup.ask(id);
    },
    expected: { "wk-1": "cancelled", "wk-2": "live", "wk-3": "cancelled" },
  },
  {
    name: "a finished job is final, one not in the replica live, an unknown one none",
    run: (setup) => {
      setup.job("wk-1");
      setup.finish("wk-1");
      setup.job("wk-2", false);
      for (const id of ["wk-1", "wk-2", "wk-3"]) setup.ask(id);
    },
    expected: { "wk-1": "final", "wk-2": "live", "wk-3": "none" },
  },
  {
    name: "a question asked while a comparison is in flight is not answered by it",
    outcomes: ["late"],
    run: (setup) => {
      setup.job("wk-1");
      setup.ask("wk-1", "first");
      // The first is compared by now and its answer on its way when another controller cancels.
      setup.clock.after(100, () => {
        setup.job("wk-1", false, 5);
        setup.ask("wk-1", "second");
      });
    },
    expected: { first: "live", second: "cancelled" },
  },
  {
    name: "a comparison without an answer makes only its own questions unavailable",
    outcomes: ["lost"],
    run: (setup) => {
      setup.job("wk-1");
      setup.ask("wk-1", "first");
      setup.clock.after(100, () => setup.ask("wk-1", "second"));
    },
    expected: { first: "unavailable", second: "live" },
  },
  {
    name: "an answer of 503 makes the question unavailable",
    outcomes: ["refused"],
    run: (setup) => {
      setup.job("wk-1");
      setup.ask("wk-1");
    },
    expected: { "wk-1": "unavailable" },
  },
];

for (const c of cases)
  test(`a batch of questions: ${c.name}`, async () => {
    const setup = new Setup();
    setup.outcomes = c.outcomes ?? [];
    c.run(setup);
    await setup.clock.runUntil(4000);
    for (const [as, expected] of Object.entries(c.expected))
      assert.equal(setup.answerTo(as), expected, as);
  });

test("a question for which there is no request budget is unavailable within 600 ms", async () => {
  const setup = new Setup(1);
  for (const id of ids.slice(0, 5)) setup.job(id);
  setup.ask("wk-1");
  setup.clock.after(30, () => setup.ask("wk-2"));
  await setup.clock.runUntil(600);
  assert.equal(setup.answerTo("wk-1"), "live");
  assert.equal(setup.answerTo("wk-2"), "unavailable");
});
