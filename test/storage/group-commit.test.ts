import assert from "node:assert/strict";
import test from "node:test";
import { KEY_ABSENT, revision } from "@umberfold/ids";
import type { Transaction } from "../../src/protocol/store.js";
import { GroupCommit } from "../../src/storage/group-commit.js";
import { StateStore, type TransactionResult } from "../../src/storage/state-store.js";
import type { CallResult, HttpClient } from "../../src/transport/client.js";
import { SimulatedClock } from "../sim/clock.js";
import { FakeStateStore } from "../sim/fakes/state-store.js";

/** Accepts in masses share transactions, and what befalls one of them is no other's answer. */
type Fate = "applied" | "lost" | "names_none" | "refused";

const create = (key: string, rev = 0): Transaction => ({
  conditions: [
    { key, rev: revision(rev) },
    { key: `final/${key}`, rev: KEY_ABSENT },
  ],
  ops: [{ kind: "put", key, value: { n: key } }],
});

const play = async (
  txns: readonly Transaction[],
  fates: Fate[],
  before: (state: FakeStateStore) => void = () => undefined,
): Promise<{
  readonly results: readonly string[];
  readonly requests: number;
  readonly state: FakeStateStore;
}> => {
  const clock = new SimulatedClock(1);
  const state = new FakeStateStore(clock);
  before(state);
  let requests = 0;
  const call = async (
    _a: string,
    method: string,
    path: string,
    body: unknown,
  ): Promise<CallResult> => {
    requests++;
    const fate = fates.shift();
    await clock.sleep(5);
    if (fate === "lost") return { kind: "lost" };
    if (fate === "refused") return { kind: "answer", status: 503, body: {} };
    const out = await state.handle(method, path, body as Record<string, unknown>);
    const answer = fate === "names_none" ? { ledger: 1, failed: [] } : out.body;
    return { kind: "answer", status: out.status, body: answer };
  };
  const calls: HttpClient = { call, callRaw: call, close: () => undefined };
  const store = new StateStore("s", { rps: 1000, writeRps: 1000 }, calls, 1);
  const group = new GroupCommit(store, { maxOps: 16, maxConditions: 64 });
  const results: TransactionResult[] = [];
  for (const [i, t] of txns.entries()) void group.commit(t).then((r) => (results[i] = r));
  await clock.runUntil(5000);
  return { results: txns.map((_t, i) => results[i]?.kind ?? "none"), requests, state };
};

const keys = (n: number): readonly string[] => Array.from({ length: n }, (_, i) => `k/${i}`);
const taken = (key: string) => (state: FakeStateStore) => {
  void state.handle("POST", "/txn", { if: [], apply: [{ write: key, v: 1 }] });
};

test("a hundred accepts at once take few transactions", async () => {
  const { results, requests, state } = await play(
    keys(100).map((k) => create(k)),
    [],
  );
  assert.ok(results.every((r) => r === "applied"));
  assert.equal(state.keys.size, 100);
  assert.ok(requests <= 10, String(requests));
});

/** Of four writes the first two go by themselves, and the others together; the third is known. */
const cases: readonly (readonly [string, Fate[], readonly string[]])[] = [
  ["the known one alone is in conflict", [], ["applied", "applied", "conflict", "applied"]],
  ["a lost answer is no other's", ["lost"], ["unknown", "applied", "conflict", "applied"]],
  [
    "a conflict that names nobody is sought one by one",
    ["applied", "applied", "names_none"],
    ["applied", "applied", "conflict", "applied"],
  ],
  [
    "refused by the service: each may come again",
    ["refused", "refused", "refused"],
    ["unavailable", "unavailable", "unavailable", "unavailable"],
  ],
];

for (const [name, fates, want] of cases)
  test(`writes that share a transaction: ${name}`, async () => {
    const four = keys(4).map((k) => create(k));
    const { results } = await play(four, [...fates], taken("k/2"));
    assert.deepEqual(results, want);
  });

test("two writes of one key never share a transaction", async () => {
  const { results } = await play([create("k/1"), create("k/2"), create("k/2")], []);
  assert.deepEqual(results, ["applied", "applied", "conflict"]);
});
