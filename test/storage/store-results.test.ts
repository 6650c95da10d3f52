/** How the outcomes of calls to the state store are classified. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs, revision } from "@umberfold/ids";
import {
  classifyComparison,
  classifyRead,
  classifyTransaction,
  classifyWatch,
} from "../../src/storage/store-results.js";
import type { CallResult } from "../../src/transport/client.js";

const answer = (status: number, body: unknown = {}): CallResult => ({
  kind: "answer",
  status,
  body,
});
const SENT_AT = monotonicMs(3);
const LOST: CallResult = { kind: "lost" };
const UNSENT: CallResult = { kind: "unsent" };
const CONFLICT = { ledger: 7, failed: ["k/1"] };
const ITEM = { path: "k/1", v: 1, mark: 7 };

type Case = readonly [name: string, outcome: CallResult, expected: unknown];
const testCases = (
  callName: string,
  classify: (outcome: CallResult) => unknown,
  cases: readonly Case[],
): void => {
  for (const [name, outcome, expected] of cases)
    test(`${callName}: ${name}`, () => assert.deepEqual(classify(outcome), expected));
};

testCases("a transaction", (outcome) => classifyTransaction(outcome, SENT_AT), [
  [
    "200 is applied",
    answer(200, { ledger: 7 }),
    { kind: "applied", rev: revision(7), sentAt: SENT_AT },
  ],
  ["200 without a revision is unknown", answer(200), { kind: "unknown" }],
  ["409 is a conflict", answer(409, CONFLICT), { kind: "conflict", failed: ["k/1"] }],
  ["409 that names no key is a conflict", answer(409), { kind: "conflict", failed: [] }],
  ["400 is refused", answer(400), { kind: "refused" }],
  ["429 is unavailable, throttled", answer(429), { kind: "unavailable", throttled: true }],
  ["503 is unavailable", answer(503), { kind: "unavailable" }],
  ["any other status is unknown", answer(500), { kind: "unknown" }],
  ["a call that was not sent is unavailable", UNSENT, { kind: "unavailable" }],
  ["a call without an answer is unknown", LOST, { kind: "unknown" }],
]);

testCases("a comparison", classifyComparison, [
  ["200 is current", answer(200, { ledger: 7 }), { kind: "current" }],
  ["409 is a conflict", answer(409, CONFLICT), { kind: "conflict", failed: ["k/1"] }],
  ["any other status is unavailable", answer(400), { kind: "unavailable" }],
  ["a call that was not sent is unavailable", UNSENT, { kind: "unavailable" }],
  ["a call without an answer is unavailable", LOST, { kind: "unavailable" }],
]);

testCases("a read", classifyRead, [
  [
    "200 is found",
    answer(200, ITEM),
    { kind: "found", item: { key: "k/1", value: 1, rev: revision(7) } },
  ],
  ["200 without a readable item is unavailable", answer(200), { kind: "unavailable" }],
  ["404 is absent", answer(404, { ledger: 7 }), { kind: "absent", rev: revision(7) }],
  ["404 without a revision is unavailable", answer(404), { kind: "unavailable" }],
  ["any other status is unavailable", answer(503, { ledger: 7 }), { kind: "unavailable" }],
  ["a call without an answer is unavailable", LOST, { kind: "unavailable" }],
]);

testCases("a watch", classifyWatch, [
  [
    "200 brings changes",
    answer(200, { ledger: 7, log: [{ drop: "k/1", mark: 7 }] }),
    { kind: "changes", rev: revision(7), changes: [{ kind: "delete", key: "k/1", rev: 7 }] },
  ],
  [
    "200 with an unreadable change is too old",
    answer(200, { ledger: 7, log: [{ mark: 7 }] }),
    { kind: "too_old" },
  ],
  ["410 is too old", answer(410), { kind: "too_old" }],
  ["any other status is unavailable", answer(503), { kind: "unavailable" }],
  ["a call without an answer is unavailable", LOST, { kind: "unavailable" }],
]);
