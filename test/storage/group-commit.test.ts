import assert from "node:assert/strict";
import test from "node:test";
import { KEY_ABSENT, revision } from "@umberfold/ids";
import type { Transaction } from "../../src/protocol/store.js";
import { GroupCommit } from "../../src/storage/group-commit.js";
import { StateStore, type TransactionResult } from "../../src/storage/state-store.js";
import type { CallResult, HttpClient } from "../../src/transport/client.js";
import { SimulatedClock } from "../sim/clock.js";
import { FakeStateStore } from "../sim/fakes/state-store.js";

/**
 * Writes committed at the same time share transactions, and each gets its own result: a failure of
 * one must not be reported to the others.
 */

/** What happens to one request of the state store instead of a normal answer. */
type Outcome = "applied" | "lost" | "conflict_without_keys" | "refused";

const create = (key: string, rev = 0): Transaction => ({
  conditions: [
    { key, rev: revision(rev) },
    { key: `final/${key}`, rev: KEY_ABSENT },
  ],
  ops: [{ kind: "put", key, value: { n: key } }],
});

const commitAll = async (
  transactions: readonly Transaction[],
  outcomes: Outcome[],
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
    _address: string,
    method: string,
    path: string,
    body: unknown,
  ): Promise<CallResult> => {
    requests++;
    const outcome = outcomes.shift();
    await clock.sleep(5);
    if (outcome === "lost") return { kind: "lost" };
    if (outcome === "refused") return { kind: "answer", status: 503, body: {} };
    const response = await state.handle(method, path, body as Record<string, unknown>);
    const answer = outcome === "conflict_without_keys" ? { ledger: 1, failed: [] } : response.body;
    return { kind: "answer", status: response.status, body: answer };
  };
  const calls: HttpClient = { call, callRaw: call, close: () => undefined };
  const store = new StateStore("store", { rps: 1000, writeRps: 1000 }, calls, 1);
  const group = new GroupCommit(store, { maxOps: 16, maxConditions: 64 });
  const results: TransactionResult[] = [];
  for (const [i, transaction] of transactions.entries())
    void group.commit(transaction).then((result) => (results[i] = result));
  await clock.runUntil(5000);
  return { results: transactions.map((_t, i) => results[i]?.kind ?? "none"), requests, state };
};

const keys = (n: number): readonly string[] => Array.from({ length: n }, (_, i) => `k/${i}`);
const alreadyWritten = (key: string) => (state: FakeStateStore) => {
  void state.handle("POST", "/txn", { if: [], apply: [{ write: key, v: 1 }] });
};

test("a hundred writes committed at once take at most ten requests", async () => {
  const { results, requests, state } = await commitAll(
    keys(100).map((k) => create(k)),
    [],
  );
  assert.ok(results.every((r) => r === "applied"));
  assert.equal(state.keys.size, 100);
  assert.ok(requests <= 10, String(requests));
});

/**
 * Of four writes, the first two are each sent alone and the last two together in one transaction;
 * the key of the third exists already, so it is in conflict.
 */
const cases: readonly (readonly [name: string, outcomes: Outcome[], results: readonly string[]])[] =
  [
    [
      "a conflict that names a key is reported to that write only",
      [],
      ["applied", "applied", "conflict", "applied"],
    ],
    [
      "after a lost answer only the write of that request is unknown",
      ["lost"],
      ["unknown", "applied", "conflict", "applied"],
    ],
    [
      "after a conflict that names no key each write is sent alone",
      ["applied", "applied", "conflict_without_keys"],
      ["applied", "applied", "conflict", "applied"],
    ],
    [
      "an answer of 503 makes every write unavailable",
      ["refused", "refused", "refused"],
      ["unavailable", "unavailable", "unavailable", "unavailable"],
    ],
  ];

for (const [name, outcomes, expected] of cases)
  test(`four writes at once: ${name}`, async () => {
    const four = keys(4).map((k) => create(k));
    const { results } = await commitAll(four, [...outcomes], alreadyWritten("k/2"));
    assert.deepEqual(results, expected);
  });

test("two writes of one key are sent in separate transactions", async () => {
  const { results } = await commitAll([create("k/1"), create("k/2"), create("k/2")], []);
  assert.deepEqual(results, ["applied", "applied", "conflict"]);
});
