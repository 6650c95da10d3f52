/**
 * Guards against `went_back` and `forgotten`: a controller read a job, was paused, and answered with
 * what it had read although another controller had told the user a newer state meanwhile. (A
 * repeated submission was answered "running" 3 s after the job was confirmed as cancelled.)
 */
import assert from "node:assert/strict";
import test from "node:test";
import type { HttpResponse } from "../../src/transport/server.js";
import type { Body } from "../sim/fakes/message.js";
import { JOB, PausedController, SUBMISSION, type Told } from "./paused-controller.js";

const { knotS: _missing, ...INCOMPLETE } = SUBMISSION;
/** More processors than any machine type has. */
const INFEASIBLE = { ...SUBMISSION, cpus: 400 };

type Send = (controller: PausedController) => Promise<HttpResponse>;
const REQUESTS: readonly (readonly [string, Send])[] = [
  ["a status request", ({ users }) => users.getStatus(JOB)],
  ["a submission", (controller) => controller.submit(SUBMISSION)],
  ["a submission that lacks a field", (controller) => controller.submit(INCOMPLETE)],
  ["a submission that fits no machine", (controller) => controller.submit(INFEASIBLE)],
  ["a cancellation", ({ users }) => users.cancel(JOB)],
];

/** Whether the job is accepted, and whether the controller knows it, when the request is sent. */
const BEFORE: readonly (readonly [string, (controller: PausedController) => void])[] = [
  ["not accepted", () => undefined],
  ["accepted elsewhere", (controller) => controller.accept()],
  [
    "accepted and known",
    (controller) => {
      controller.accept();
      controller.deliverWatch();
    },
  ],
];

/** What the other controller does with the job and tells its user. */
const MEANWHILE: readonly (readonly [string, (controller: PausedController) => Told])[] = [
  ["accepts it", (controller) => controller.accept()],
  [
    "cancels it",
    (controller) => {
      controller.accept();
      return controller.cancel();
    },
  ],
  [
    "finishes it",
    (controller) => {
      controller.accept();
      return controller.finish();
    },
  ],
];

/** When the request is sent; the process is paused at each millisecond from then on. */
const SENT_AT_MS = 10;
const LAST_PAUSE_OFFSET_MS = 70;
/** Times from the start of the pause. */
const WRITTEN_AFTER_MS = 60;
const TOLD_AFTER_MS = 90;
/** How long after the pause the watch shows the change, behind the answers that arrived before. */
const WATCH_DELAY_MS = 1;
const PAUSES_MS = [150, 900, 3500, 36_000];
const END_MS = 60_000;

const stageOf = ({ body }: HttpResponse): string => String((body as Body | undefined)?.stage);

/** Whether a response that leaves after the user was told the stage contradicts it. */
const contradicts = (response: HttpResponse, told: Told | undefined): boolean => {
  if ([400, 404, 422].includes(response.status)) return true;
  if (response.status !== 200 && response.status !== 201) return false;
  return told !== undefined && told !== "accepted" && stageOf(response) !== told;
};

interface Run {
  readonly send: Send;
  readonly before: (controller: PausedController) => void;
  readonly meanwhile: (controller: PausedController) => Told;
  readonly pauseOffsetMs: number;
  readonly pauseMs: number;
}

/** The response, what the other controller told the user, and whether the response left later. */
const play = async ({ send, before, meanwhile, pauseOffsetMs, pauseMs }: Run) => {
  const controller = new PausedController();
  const { clock } = controller;
  before(controller);
  let answered: { response: HttpResponse; at: number } | undefined;
  clock.after(SENT_AT_MS, () => {
    void send(controller).then((response) => {
      answered = { response, at: clock.now };
    });
  });
  const pausedAt = SENT_AT_MS + pauseOffsetMs;
  controller.pauseAt(pausedAt, pauseMs);
  let told: Told | undefined;
  clock.after(pausedAt + WRITTEN_AFTER_MS, () => {
    told = meanwhile(controller);
  });
  clock.after(pausedAt + pauseMs + WATCH_DELAY_MS, () => controller.deliverWatch());
  await clock.runUntil(END_MS);
  assert.ok(answered !== undefined, "a response");
  return { ...answered, told, isAfterTold: answered.at >= pausedAt + TOLD_AFTER_MS };
};

for (const [request, send] of REQUESTS)
  for (const [state, before] of BEFORE)
    for (const [event, meanwhile] of MEANWHILE)
      test(`user answers: ${request}, job ${state}, paused at any await while another controller ${event}`, async () => {
        for (const pauseMs of PAUSES_MS)
          for (let pauseOffsetMs = 0; pauseOffsetMs <= LAST_PAUSE_OFFSET_MS; pauseOffsetMs++) {
            const run = { send, before, meanwhile, pauseOffsetMs, pauseMs };
            const { response, told, isAfterTold } = await play(run);
            assert.ok(
              !isAfterTold || !contradicts(response, told),
              `paused ${pauseMs} ms after ${pauseOffsetMs} ms: ${response.status} ${stageOf(response)}`,
            );
          }
      });

test("user answers: an answer of the state store that takes 1200 ms is not used", async () => {
  const controller = new PausedController();
  controller.accept();
  controller.deliverWatch();
  controller.answerDelayMs = 1200;
  const answer = controller.users.getStatus(JOB);
  await controller.clock.runUntil(2000);
  assert.equal((await answer).status, 503);
  assert.equal(controller.users.stats().outdated, 1);
});

test("user answers: a record that changed while it was read is read again", async () => {
  const controller = new PausedController();
  controller.accept();
  controller.deliverWatch();
  controller.answerDelayMs = 250;
  const answer = controller.users.getStatus(JOB);
  // By then the store has confirmed the record, and the answer is on its way.
  controller.clock.after(100, () => {
    controller.cancel();
    controller.deliverWatch();
  });
  await controller.clock.runUntil(2000);
  assert.equal(stageOf(await answer), "cancelled");
  assert.equal(controller.users.stats().superseded, 1);
});
