/**
 * Guards against `ran_twice` and `ran_cancelled` by copies of a start command that reach a worker
 * late: again after the command was executed and answered, or for the first time after its call was
 * given up. Whatever happens in between, a copy must not run an attempt whose record is closed,
 * because its task may run on another machine by then, or its job may be cancelled.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, fencingToken, machineId, monotonicMs } from "@umberfold/ids";
import fc from "fast-check";
import { observeAttempt } from "../../../src/coordination/ownership/attempt-observation.js";
import {
  type DesiredAttempt,
  type DesiredAttempts,
  reconcileCommands,
  startedAttemptKeys,
} from "../../../src/coordination/ownership/reconciliation.js";
import {
  isExecutedButNotListed,
  mustRaiseToken,
} from "../../../src/coordination/ownership/token-raise.js";
import {
  newWorkerSession,
  stepWorkerSession,
  type WorkerSession,
  type WorkerSessionEvent,
} from "../../../src/coordination/ownership/worker-session.js";
import { commandsBody, parseWorkerStatus } from "../../../src/protocol/workers.js";
import { SimulatedClock } from "../../sim/clock.js";
import type { RentedMachine } from "../../sim/fakes/cloud.js";
import type { Body } from "../../sim/fakes/message.js";
import { FakeWorker } from "../../sim/fakes/worker.js";
import { KEY, TASK } from "./session-events.js";

const ATTEMPT = attemptNumber(1);
const WORKER_LEASE_MS = 21_000;
const HOOKS = {
  onTaskStarted: () => undefined,
  onTaskEnded: () => undefined,
  runMs: () => 1e9,
  failsThisStart: () => false,
  heartbeat: () => Promise.resolve(undefined),
};

/** What becomes of a direct call: executed and answered, not executed, or given up on its way. */
type CallFate = "answered" | "refused" | "given_up";

/** A machine with one attempt, its owner's session, and all start commands ever sent. */
class StartedMachine {
  readonly #clock = new SimulatedClock(1);
  readonly #worker: FakeWorker;
  readonly #copies: Body[] = [];
  #session: WorkerSession = newWorkerSession(fencingToken(10), monotonicMs(0));
  #isStopRequested = false;
  /** Whether the owner has closed the attempt's record, because it is proved gone. */
  isClosed = false;

  constructor() {
    const rented = { id: machineId("m-000001"), type: "small", zone: "a", spot: false };
    this.#worker = new FakeWorker(
      this.#clock,
      rented as unknown as RentedMachine,
      ["n-0"],
      WORKER_LEASE_MS,
      HOOKS,
    );
    this.showToken();
  }

  /** Whether a process of the attempt is on the machine or about to start. */
  get isOnMachine(): boolean {
    const task = this.#worker.tasks.get(TASK);
    return task !== undefined && task.stage !== "ended";
  }

  #step(event: WorkerSessionEvent): void {
    this.#session = stepWorkerSession(this.#session, event);
  }

  #receive(body: unknown, via: "heartbeat" | "direct"): void {
    const status = parseWorkerStatus(body);
    assert.ok(status !== undefined);
    this.#step({ kind: "status_received", status, via, now: monotonicMs(this.#clock.now) });
  }

  #desired(): DesiredAttempts {
    const attempt: DesiredAttempt = {
      task: TASK,
      attempt: ATTEMPT,
      stopGraceS: this.#isStopRequested ? 0 : null,
      isStartForbidden: false,
    };
    return this.isClosed ? new Map() : new Map([[TASK, attempt]]);
  }

  /** The worker reports; if the report proves the attempt gone, its record is closed. */
  heartbeat(): void {
    this.#receive(this.#worker.handle("/status", undefined).body, "heartbeat");
  }

  /** A round: closes the record if the attempt is proved gone, and raises a token that must be. */
  round(): void {
    const observation = observeAttempt(this.#session, TASK, ATTEMPT);
    const hasEnded = observation.kind === "present" && observation.status.phase === "ended";
    const isAbsent = observation.kind === "absent" && this.#isStopRequested;
    if (hasEnded || isAbsent) this.isClosed = true;
    const isUnlisted =
      this.#session.state === "ready" &&
      !this.isClosed &&
      isExecutedButNotListed(this.#session, TASK, ATTEMPT, KEY);
    if (isUnlisted || mustRaiseToken(this.#session)) this.raiseToken();
  }

  /** The owner sends the commands that are due, in a direct call. */
  call(fate: CallFate): void {
    const { token, status } = this.#session;
    const commands = reconcileCommands(this.#session, this.#desired());
    if (commands.length === 0 || status === undefined) return;
    const starts = startedAttemptKeys(commands);
    const body = commandsBody(token, status.epoch, commands) as Body;
    this.#step({ kind: "command_sent", starts });
    if (fate !== "refused" && starts.length > 0) this.#copies.push(body);
    if (fate === "given_up") this.#step({ kind: "command_lost", starts, token });
    if (fate === "refused") this.#step({ kind: "command_not_sent", starts, token });
    if (fate !== "answered") return;
    const answer = this.#worker.handle("/orders", body);
    const kind = answer.status === 200 ? "command_answered" : "command_not_sent";
    this.#step({ kind, starts, token });
    this.#receive(answer.body, "direct");
  }

  /** The task has to leave: it moves to another machine, or its job is cancelled. */
  requestStop(): void {
    this.#isStopRequested = true;
  }

  /** The owner raises the machine's token. */
  raiseToken(): void {
    const token = fencingToken(this.#session.token + 10);
    this.#step({ kind: "token_assigned", token, now: monotonicMs(this.#clock.now) });
  }

  /** The worker is shown the owner's token, and reports that it has seen it. */
  showToken(): void {
    const epoch = this.#session.status?.epoch ?? 1;
    const body = commandsBody(this.#session.token, epoch, []) as Body;
    this.#receive(this.#worker.handle("/orders", body).body, "direct");
  }

  /** The controller is back at once, as a new process: it claims the shard under a new token. */
  restartController(): void {
    this.#session = newWorkerSession(
      fencingToken(this.#session.token + 10),
      monotonicMs(this.#clock.now),
    );
  }

  /** The machine is back at once: its tasks are gone, its session goes on. */
  restartMachine(): void {
    this.#worker.restart();
  }

  /** The machine has not been heard for longer than its lease, and begins a new session. */
  async expireLease(): Promise<void> {
    await this.#clock.runUntil(this.#clock.now + WORKER_LEASE_MS + 1000);
  }

  /** Copies of all start commands arrive again. */
  deliverCopies(): void {
    for (const copy of this.#copies) this.#worker.handle("/orders", copy);
  }
}

/** One step of a case. */
type Step = (machine: StartedMachine) => void | Promise<void>;

const start: Step = (machine) => machine.call("answered");
const startRefused: Step = (machine) => machine.call("refused");
const startGivenUp: Step = (machine) => machine.call("given_up");
const command: Step = (machine) => machine.call("answered");
const heartbeat: Step = (machine) => machine.heartbeat();
const round: Step = (machine) => machine.round();
const stop: Step = (machine) => machine.requestStop();
const raiseToken: Step = (machine) => machine.raiseToken();
const showToken: Step = (machine) => machine.showToken();
const restartController: Step = (machine) => machine.restartController();
const restartMachine: Step = (machine) => machine.restartMachine();
const expireLease: Step = (machine) => machine.expireLease();
const copiesArrive: Step = (machine) => machine.deliverCopies();

/** The owner has the attempt stopped, sees that it has ended and closes its record. */
const closeStopped: readonly Step[] = [stop, command, heartbeat, round];
/** Whatever is still due: the forget command, under the token that the worker has seen by then. */
const settle: readonly Step[] = [showToken, heartbeat, round, command, heartbeat, round, command];

const cases: readonly (readonly [string, readonly Step[]])[] = [
  ["the task was moved or its job cancelled", [start, heartbeat, ...closeStopped]],
  ["it was moved or cancelled, and forgotten", [start, heartbeat, ...closeStopped, ...settle]],
  [
    "it was forgotten under a raised token",
    [start, heartbeat, ...closeStopped, raiseToken, ...settle],
  ],
  [
    "the controller was back within a second",
    [start, restartController, showToken, ...closeStopped, ...settle],
  ],
  [
    "the controller was back, and the copy arrives before its token",
    [start, stop, command, restartController, copiesArrive, ...settle],
  ],
  ["the machine was back within a second", [start, heartbeat, restartMachine, heartbeat, round]],
  [
    "the machine was back while the task was to leave",
    [start, heartbeat, stop, restartMachine, heartbeat, round],
  ],
  [
    "the machine was back while the task was to leave, and all was settled",
    [start, heartbeat, stop, restartMachine, heartbeat, round, ...settle],
  ],
  [
    "controller and machine were back",
    [start, restartMachine, restartController, heartbeat, stop, round, ...settle],
  ],
  [
    "the machine began a new session",
    [start, heartbeat, stop, expireLease, heartbeat, round, ...settle],
  ],
  ["the start was given up, and the task was to leave", [startGivenUp, heartbeat, stop, round]],
  [
    "the start was given up, its repetition refused, and the task was to leave",
    [startGivenUp, startRefused, heartbeat, stop, heartbeat, round],
  ],
  [
    "the start was given up, its repetition refused, a third executed, and the task left",
    [startGivenUp, startRefused, start, heartbeat, ...closeStopped, ...settle],
  ],
  [
    "the start was executed, its repetition refused, and the task left",
    [start, startRefused, heartbeat, ...closeStopped, ...settle],
  ],
];

const play = async (steps: readonly Step[]): Promise<StartedMachine> => {
  const machine = new StartedMachine();
  for (const step of steps) await step(machine);
  machine.deliverCopies();
  return machine;
};

for (const [name, steps] of cases)
  test(`late copies of a start: ${name}`, async () => {
    const machine = await play(steps);
    assert.ok(!(machine.isClosed && machine.isOnMachine), "a closed attempt runs");
  });

/** Cases that must end with a closed record: the safeguards may delay a task, not hold it forever. */
const closing: readonly (readonly [string, readonly Step[]])[] = [
  ["of a machine that was back", [start, heartbeat, stop, restartMachine, heartbeat, round]],
  ["whose start was given up", [startGivenUp, heartbeat, stop, round]],
  ["whose repeated start was refused", [startGivenUp, startRefused, heartbeat, stop, round]],
];
for (const [name, steps] of closing)
  test(`late copies of a start: the attempt ${name} is closed once the token is raised`, async () => {
    const machine = await play([...steps, ...settle]);
    assert.equal(machine.isClosed, true);
    assert.equal(machine.isOnMachine, false);
  });

const STEPS: readonly (readonly [string, Step])[] = [
  ["start or other command", command],
  ["call refused", startRefused],
  ["call given up", startGivenUp],
  ["heartbeat", heartbeat],
  ["round", round],
  ["stop", stop],
  ["raise token", raiseToken],
  ["show token", showToken],
  ["controller back", restartController],
  ["lease expires", expireLease],
  ["copies arrive", copiesArrive],
];
const MAX_STEPS = 24;

/**
 * Without a machine that is back: a worker keeps its exited tasks until they are forgotten. If it
 * lost them within a session, a copy could run an attempt that was closed before.
 */
test("late copies of a start: no order of events runs a closed attempt", async () => {
  const step = fc.constantFrom(...STEPS.map(([name]) => name));
  const byName = new Map(STEPS);
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: MAX_STEPS }), async (names) => {
      const machine = await play(names.map((name) => byName.get(name) as Step));
      assert.ok(!(machine.isClosed && machine.isOnMachine));
    }),
    { seed: 44, numRuns: 3000 },
  );
});
