/** How heartbeats are answered. */
import assert from "node:assert/strict";
import test from "node:test";
import { HeartbeatHandler } from "../../../src/coordination/workers/heartbeat-handler.js";
import { StatusRecorder } from "../../../src/coordination/workers/status-recorder.js";
import type { WorkerStatus } from "../../../src/protocol/workers.js";
import type { HttpResponse } from "../../../src/transport/server.js";
import { MACHINE, type SetupOptions, setUpOwner, statusBody } from "./channel-setup.js";

const setUp = (options: SetupOptions = {}) => {
  const owner = setUpOwner(options);
  const handler = new HeartbeatHandler(owner.state, new StatusRecorder(owner.state));
  const adopted: string[] = [];
  const adopt = ({ machine }: WorkerStatus): void => {
    adopted.push(machine);
  };
  const beat = (body: unknown): HttpResponse => handler.handle(body, adopt);
  return { ...owner, beat, adopted };
};

const refusals: readonly {
  name: string;
  options?: SetupOptions;
  body?: Readonly<Record<string, unknown>>;
  response: HttpResponse;
}[] = [
  {
    name: "one without a machine is malformed",
    body: { shift: 1 },
    response: { status: 400, body: { error: "malformed report" } },
  },
  {
    name: "before the first scan the worker is asked to come again",
    options: { synced: false },
    response: { status: 503, retryAfterS: 1 },
  },
  {
    name: "without a valid lease the worker is sent elsewhere",
    options: { holdsValidLease: false },
    response: { status: 421, body: {} },
  },
  {
    name: "the machine of another's shard is redirected to its owner",
    options: { ownsShard: false },
    response: { status: 421, body: { foreman: "other" } },
  },
  {
    name: "one from a machine that no record shows is redirected",
    body: statusBody(1, 10, { loom: "m-unknown" }),
    response: { status: 421, body: {} },
  },
  {
    name: "one with a higher token than ours is not accepted: the machine may be another's",
    body: statusBody(1, 11),
    response: { status: 503, retryAfterS: 1 },
  },
];

for (const { name, options, body = statusBody(1, 10), response } of refusals)
  test(`heartbeat: ${name}`, () => {
    const { beat, state } = setUp(options);
    assert.deepEqual(beat(body), response);
    assert.equal(state.sessions.get(MACHINE)?.status, undefined, "nothing of it is taken in");
  });

test("heartbeat: the owner answers with its token, and the session is ready", () => {
  const { beat, state, roundsAsked } = setUp();
  const { status, body } = beat(statusBody(1, 10));
  assert.equal(status, 200);
  assert.deepEqual((body as { orders: unknown }).orders, []);
  assert.equal(Number((body as { baton: unknown }).baton), 10);
  assert.equal(state.sessions.get(MACHINE)?.state, "ready");
  assert.equal(roundsAsked(), 1);
});

test("heartbeat: one that says nothing new asks for no round", () => {
  const { beat, roundsAsked } = setUp();
  beat(statusBody(1, 10));
  beat(statusBody(2, 10));
  assert.equal(roundsAsked(), 1);
});

test("heartbeat: a task that no record shows is stopped, but not on a status that came late", () => {
  const { beat } = setUp();
  const threads = [{ thread: "wk-000001/0", try: 1, stage: "running" }];
  const ordersOf = ({ body }: HttpResponse): readonly unknown[] =>
    (body as { orders: readonly unknown[] }).orders;
  assert.equal(ordersOf(beat(statusBody(5, 10, { threads }))).length, 1);
  assert.equal(ordersOf(beat(statusBody(4, 10, { threads }))).length, 0);
});

test("heartbeat: the leader is given the status of a machine that no record shows", () => {
  const { beat, adopted } = setUp({ isLeader: true });
  beat(statusBody(1, 10, { loom: "m-unknown" }));
  assert.deepEqual(adopted, ["m-unknown"]);
});
