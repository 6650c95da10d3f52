/** `NoticeOutbox`: how calls end for the sender, and which notices share a message. */
import assert from "node:assert/strict";
import test from "node:test";
import { controllerLabel, jobId, revision, wallClockMs } from "@umberfold/ids";
import { NoticeOutbox } from "../../../src/coordination/cancellation/notice-outbox.js";
import type { ControllerContext } from "../../../src/coordination/context.js";
import { type CancellationNotice, decodePeerMessage } from "../../../src/protocol/peer.js";
import type { CallResult, HttpClient } from "../../../src/transport/client.js";

const PEER = controllerLabel("n-1");
const OTHER_PEER = controllerLabel("n-2");
const ADDRESSES = new Map([
  [PEER, "peer-1"],
  [OTHER_PEER, "peer-2"],
]);
const MAX_NOTICES_PER_MESSAGE = 500;

const notice = (n: number): CancellationNotice => ({
  job: jobId(`wk-${n}`),
  rev: revision(n),
  at: wallClockMs(n),
});

interface SentMessage {
  readonly address: string;
  readonly jobs: readonly string[];
  readonly answer: (result: CallResult) => void;
}

/** An HTTP client that records each message and leaves it pending until the test answers it. */
class PendingCalls implements HttpClient {
  readonly sent: SentMessage[] = [];

  call(): Promise<CallResult> {
    throw new Error("notices are sent as raw calls");
  }

  callRaw(
    address: string,
    _method: string,
    _path: string,
    payload: Uint8Array | undefined,
  ): Promise<CallResult> {
    const { cancelled } = decodePeerMessage(payload ?? new Uint8Array());
    return new Promise((answer) => {
      this.sent.push({ address, jobs: cancelled.map(({ job }) => job), answer });
    });
  }

  close(): void {}
}

const makeOutbox = () => {
  const calls = new PendingCalls();
  const seeds = [...ADDRESSES].map(([label, address]) => ({ label, address }));
  const self = { label: controllerLabel("n-0") };
  const outbox = new NoticeOutbox(
    { settings: { seeds }, self } as unknown as ControllerContext,
    calls,
  );
  const answer = (index: number, result: CallResult): void => calls.sent[index]?.answer(result);
  return { outbox, calls, answer };
};

const answers: readonly (readonly [string, CallResult, boolean])[] = [
  ["an acknowledgment", { kind: "answer", status: 204, body: undefined }, true],
  ["an error", { kind: "answer", status: 500, body: undefined }, false],
  ["no answer", { kind: "lost" }, false],
  ["no connection", { kind: "unsent" }, false],
];
for (const [name, result, expected] of answers)
  test(`a notice whose call ends with ${name} resolves to ${expected}`, async () => {
    const { outbox, answer } = makeOutbox();
    const acknowledged = outbox.send(PEER, notice(1));
    answer(0, result);
    assert.equal(await acknowledged, expected);
  });

test("a notice to a controller without an address resolves to false, and nothing is sent", async () => {
  const { outbox, calls } = makeOutbox();
  assert.equal(await outbox.send(controllerLabel("n-9"), notice(1)), false);
  assert.deepEqual(calls.sent, []);
});

test("notices queued while a message is in flight are sent together in the next one", async () => {
  const { outbox, calls, answer } = makeOutbox();
  const first = outbox.send(PEER, notice(1));
  const second = outbox.send(PEER, notice(2));
  const third = outbox.send(PEER, notice(3));
  assert.deepEqual(
    calls.sent.map(({ jobs }) => jobs),
    [["wk-1"]],
  );
  answer(0, { kind: "answer", status: 204, body: undefined });
  assert.equal(await first, true);
  assert.deepEqual(calls.sent[1]?.jobs, ["wk-2", "wk-3"]);
  answer(1, { kind: "answer", status: 500, body: undefined });
  assert.deepEqual(await Promise.all([second, third]), [false, false]);
  assert.deepEqual(outbox.counters, { notices: 3 });
});

test("a job that is queued twice is sent once, and both callers get the result", async () => {
  const { outbox, calls, answer } = makeOutbox();
  const inFlight = outbox.send(PEER, notice(1));
  const asked = [outbox.send(PEER, notice(2)), outbox.send(PEER, notice(2))];
  answer(0, { kind: "answer", status: 204, body: undefined });
  await inFlight;
  assert.deepEqual(calls.sent[1]?.jobs, ["wk-2"]);
  answer(1, { kind: "answer", status: 204, body: undefined });
  assert.deepEqual(await Promise.all(asked), [true, true]);
});

test("a controller that doesn't answer delays no notice to another", async () => {
  const { outbox, calls, answer } = makeOutbox();
  void outbox.send(PEER, notice(1));
  const other = outbox.send(OTHER_PEER, notice(1));
  assert.deepEqual(
    calls.sent.map(({ address }) => address),
    ["peer-1", "peer-2"],
  );
  answer(1, { kind: "answer", status: 204, body: undefined });
  assert.equal(await other, true);
});

test("notices beyond the limit of one message are split over several", async () => {
  const { outbox, calls, answer } = makeOutbox();
  const first = outbox.send(PEER, notice(0));
  for (let n = 1; n <= MAX_NOTICES_PER_MESSAGE + 1; n++) void outbox.send(PEER, notice(n));
  answer(0, { kind: "answer", status: 204, body: undefined });
  await first;
  assert.equal(calls.sent[1]?.jobs.length, MAX_NOTICES_PER_MESSAGE);
});
