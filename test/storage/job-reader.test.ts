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
 * Many questions cost few requests, and none is answered older than the state service was when it
 * was asked: a state that another controller has told since must never be taken back.
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

/** What the service does with the n-th transaction, instead of carrying it out at once. */
type Fate = "lost" | "late" | "refused" | "first_failed_only";

const MOST_CONDITIONS = 64;

class Setup {
  readonly clock = new SimulatedClock(1);
  readonly state = new FakeStateStore(this.clock);
  readonly replica = new Replica();
  readonly reader: JobReader;
  readonly answers = new Map<string, JobLookup>();
  requests = 0;
  fates: Fate[] = [];

  constructor(rps = 1000) {
    const store = new StateStore("s", { rps, writeRps: 100 }, this.#calls(), 1);
    this.reader = new JobReader(store, this.replica, MOST_CONDITIONS);
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
      const fate = path === "/txn" ? this.fates.shift() : undefined;
      if (fate === "refused") return { kind: "answer", status: 503, body: {} };
      if (fate === "lost") {
        await this.clock.sleep(timeoutMs);
        return { kind: "lost" };
      }
      await this.clock.sleep(2);
      const out = await this.state.handle(method, path, body as Body | undefined);
      // Carried out at once, and its answer is long on its way.
      await this.clock.sleep(fate === "late" ? 400 : 2);
      const answer = out.body as Body | undefined;
      const named = answer?.failed;
      const cut = fate === "first_failed_only" && Array.isArray(named);
      const failed = cut ? { failed: named.slice(0, 1) } : {};
      return { kind: "answer", status: out.status, body: { ...answer, ...failed } };
    };
    return { call, callRaw: call, close: () => undefined };
  }

  write(ops: readonly Body[]): number {
    void this.state.handle("POST", "/txn", { if: [], apply: ops });
    return this.state.rev;
  }

  /** A live job, known here, and cancelled or not. */
  job(id: string, heard = true, cancelledAt: number | null = null): void {
    const at = cancelledAt === null ? null : wallClockMs(cancelledAt);
    const value = encodeAcceptedJob({
      spec: spec(id),
      acceptedAt: wallClockMs(1),
      cancelledAt: at,
      shard: null,
    });
    const rev = this.write([{ write: keys.live(jobId(id)), v: value }]);
    if (heard)
      this.replica.apply({ kind: "put", key: keys.live(jobId(id)), value, rev: revision(rev) });
  }

  end(id: string): void {
    const key = keys.final(jobId(id));
    this.write([
      { drop: keys.live(jobId(id)) },
      { write: key, v: encodeFinalJob({ phase: "done", done: 1 }) },
    ]);
  }

  ask(id: string, as = id): void {
    void this.reader.read(jobId(id)).then((found) => this.answers.set(as, found));
  }

  said(as: string): string {
    const found = this.answers.get(as);
    if (found?.kind === "live") return found.job.cancelledAt === null ? "live" : "cancelled";
    return found?.kind ?? "nothing";
  }
}

const ids = Array.from({ length: 300 }, (_, i) => `wk-${i + 1}`);

test("questions about many jobs cost a request for each batch of them", async () => {
  const s = new Setup();
  for (const id of ids) s.job(id);
  for (const id of ids) for (let user = 0; user < 3; user++) s.ask(id, `${id}.${user}`);
  await s.clock.runUntil(2000);
  for (const id of ids) assert.equal(s.said(`${id}.2`), "live");
  // 900 questions, 64 conditions a request; each was a request by itself.
  assert.ok(s.requests <= 20, String(s.requests));
});

const cases: readonly {
  readonly name: string;
  readonly fates?: Fate[];
  readonly run: (s: Setup) => void;
  readonly want: Readonly<Record<string, string>>;
}[] = [
  {
    name: "a job that another controller cancelled",
    run: (s) => {
      s.job("wk-1");
      s.job("wk-2");
      s.job("wk-2", false, 5);
      s.ask("wk-1");
      s.ask("wk-2");
    },
    want: { "wk-1": "live", "wk-2": "cancelled" },
  },
  {
    name: "the service names only one of those that changed",
    fates: ["first_failed_only", "first_failed_only"],
    run: (s) => {
      for (const id of ["wk-1", "wk-2", "wk-3"]) s.job(id);
      for (const id of ["wk-1", "wk-3"]) s.job(id, false, 5);
      for (const id of ["wk-1", "wk-2", "wk-3"]) s.ask(id);
    },
    want: { "wk-1": "cancelled", "wk-2": "live", "wk-3": "cancelled" },
  },
  {
    name: "a job that ended unheard, one that is unknown here, one that nobody knows",
    run: (s) => {
      s.job("wk-1");
      s.end("wk-1");
      s.job("wk-2", false);
      for (const id of ["wk-1", "wk-2", "wk-3"]) s.ask(id);
    },
    want: { "wk-1": "final", "wk-2": "live", "wk-3": "none" },
  },
  {
    name: "a question asked while a comparison is under way is not answered by it",
    fates: ["late"],
    run: (s) => {
      s.job("wk-1");
      s.ask("wk-1", "first");
      // The first is compared by now, and its answer on its way, when the user is told elsewhere.
      s.clock.after(100, () => {
        s.job("wk-1", false, 5);
        s.ask("wk-1", "second");
      });
    },
    want: { first: "live", second: "cancelled" },
  },
  {
    name: "a comparison without an answer holds up only its own questions",
    fates: ["lost"],
    run: (s) => {
      s.job("wk-1");
      s.ask("wk-1", "first");
      s.clock.after(100, () => s.ask("wk-1", "second"));
    },
    want: { first: "unavailable", second: "live" },
  },
  {
    name: "refused by the state service",
    fates: ["refused"],
    run: (s) => {
      s.job("wk-1");
      s.ask("wk-1");
    },
    want: { "wk-1": "unavailable" },
  },
];

for (const c of cases)
  test(`questions together: ${c.name}`, async () => {
    const s = new Setup();
    s.fates = c.fates ?? [];
    c.run(s);
    await s.clock.runUntil(4000);
    for (const [as, want] of Object.entries(c.want)) assert.equal(s.said(as), want, as);
  });

test("without a part of the requests, questions are refused soon and not held back", async () => {
  const s = new Setup(1);
  for (const id of ids.slice(0, 5)) s.job(id);
  s.ask("wk-1");
  s.clock.after(30, () => s.ask("wk-2"));
  await s.clock.runUntil(600);
  assert.equal(s.said("wk-1"), "live");
  assert.equal(s.said("wk-2"), "unavailable");
});
