/** When a fencing token must be raised. */
import assert from "node:assert/strict";
import test from "node:test";
import { fencingToken, monotonicMs } from "@umberfold/ids";
import { mustRaiseToken } from "../../../src/coordination/ownership/token-raise.js";
import type { WorkerSessionEvent } from "../../../src/coordination/ownership/worker-session.js";
import { callOutcome, KEY, received, sessionAfter, statusOf } from "./session-events.js";

const LOST_START: readonly WorkerSessionEvent[] = [
  received(statusOf(1, 1, 10)),
  { kind: "command_sent", starts: [KEY] },
  callOutcome("command_lost"),
];

test("token raise: a lost start requires a higher token", () => {
  assert.equal(mustRaiseToken(sessionAfter(10, LOST_START)), true);
});

test("token raise: a lost start requires no further raise once the token is higher", () => {
  const session = sessionAfter(10, [
    ...LOST_START,
    { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
  ]);
  assert.equal(mustRaiseToken(session), false);
});
