/** Which heartbeats are accepted, and how they are answered. */
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
  const adoptMachine = ({ machine }: WorkerStatus): void => {
    adopted.push(machine);
  };
  const sendHeartbeat = (body: unknown): HttpResponse => handler.handle(body, adoptMachine);
  return { ...owner, sendHeartbeat, adopted };
};

const refusals: readonly {
  name: string;
  options?: SetupOptions;
  body?: Readonly<Record<string, unknown>>;
  response: HttpResponse;
}[] = [
  {
    name: "a status without a machine is malformed",
    body: { shift: 1 },
    response: { status: 400, body: { error: "malformed report" } },
  },
  {
    name: "before the replica is synced the worker is asked to retry",
    options: { synced: false },
    response: { status: 503, retryAfterS: 1 },
  },
  {
    name: "without a valid lease the worker is redirected",
    options: { holdsValidLease: false },
    response: { status: 421, body: {} },
  },
  {
    name: "a machine in another controller's shard is redirected to its owner",
    options: { ownsShard: false },
    response: { status: 421, body: { foreman: "other" } },
  },
  {
    name: "a machine without a record is redirected",
    body: statusBody(1, 10, { loom: "m-unknown" }),
    response: { status: 421, body: {} },
  },
  {
    name: "a status with a higher token than ours is refused: another controller may be the owner",
    body: statusBody(1, 11),
    response: { status: 503, retryAfterS: 1 },
  },
];

for (const { name, options, body = statusBody(1, 10), response } of refusals)
  test(`heartbeat: ${name}`, () => {
    const { sendHeartbeat, state } = setUp(options);
    assert.deepEqual(sendHeartbeat(body), response);
    assert.equal(state.sessions.get(MACHINE)?.status, undefined, "the status is not recorded");
  });

test("heartbeat: the owner answers with its token, and the session becomes ready", () => {
  const { sendHeartbeat, state, roundRequestCount } = setUp();
  const { status, body } = sendHeartbeat(statusBody(1, 10));
  assert.equal(status, 200);
  assert.deepEqual((body as { orders: unknown }).orders, []);
  assert.equal(Number((body as { baton: unknown }).baton), 10);
  assert.equal(state.sessions.get(MACHINE)?.state, "ready");
  assert.equal(roundRequestCount(), 1);
});

test("heartbeat: a status without a relevant change requests no round", () => {
  const { sendHeartbeat, roundRequestCount } = setUp();
  sendHeartbeat(statusBody(1, 10));
  sendHeartbeat(statusBody(2, 10));
  assert.equal(roundRequestCount(), 1);
});

test("heartbeat: a task without a record is stopped, but not in response to a late status", () => {
  const { sendHeartbeat } = setUp();
  const threads = [{ thread: "wk-000001/0", try: 1, stage: "running" }];
  const commandsIn = ({ body }: HttpResponse): readonly unknown[] =>
    (body as { orders: readonly unknown[] }).orders;
  assert.equal(commandsIn(sendHeartbeat(statusBody(5, 10, { threads }))).length, 1);
  assert.equal(commandsIn(sendHeartbeat(statusBody(4, 10, { threads }))).length, 0);
});

test("heartbeat: the leader adopts a machine without a record", () => {
  const { sendHeartbeat, adopted } = setUp({ isLeader: true });
  sendHeartbeat(statusBody(1, 10, { loom: "m-unknown" }));
  assert.deepEqual(adopted, ["m-unknown"]);
});
