/**
 * A stand-in for a worker, after its published protocol: fencing tokens, epochs, its lease, its
 * heartbeats and the commands that it carries out.
 *
 * Owns its tasks. What holds: a command under a lower fencing token than the highest it has seen,
 * or for another epoch, is refused; when its lease expires all its tasks are gone and its epoch
 * rises.
 */
import type { TimeSource } from "../clock.js";

import type { Rented } from "./cloud.js";
import type { Body, Out } from "./message.js";

const LEASE_LOOK_MS = 100;
const MIN_HEARTBEAT_EVERY_MS = 2250;
const MAX_HEARTBEAT_EVERY_MS = 3750;
/** A change is reported no sooner than this after the last heartbeat. */
const MIN_HEARTBEAT_GAP_MS = 500;
const CHANGE_LOOK_MS = 100;
const RETRY_MS = 1000;
/** An answer that took longer is not acted on: its commands may be out of date. */
const MAX_ANSWER_AGE_MS = 4000;
const FETCH_MS: readonly [number, number] = [200, 1500];

/** A task on the worker, in the wire's words for its phase. */
interface WorkerTask {
  readonly task: string;
  readonly attempt: number;
  stage: "pulling" | "running" | "ended";
  cause?: string;
}

/** What a worker tells and asks of whatever runs it. */
export interface WorkerHooks {
  /** A task's process starts. */
  readonly began: (worker: FakeWorker, task: string) => void;
  /** A task's process is gone; `done` if it came to its own end. */
  readonly left: (worker: FakeWorker, task: string, done: boolean) => void;
  /** How long a task runs unless it is stopped. */
  readonly runMs: (task: string) => number;
  /** Whether this start of a task ends with an error. */
  readonly fails: (task: string) => boolean;
  /** Sends a heartbeat to a controller; undefined if no answer came. */
  readonly heartbeat: (controller: string, status: Body) => Promise<Out | undefined>;
}

/** Where the worker sends its next heartbeat, and when. */
type HeartbeatOutcome = "accepted" | "redirected" | "try_next";

/** One worker, from the machine's boot to its end. */
export class FakeWorker {
  /** Until the machine is returned, taken away or dies. */
  alive = true;
  /** A hanging machine executes nothing and says nothing, and may come back. */
  hangs = false;
  /** Its heartbeats arrive; answers and commands don't reach it. */
  deaf = false;
  /** Its heartbeats reach no controller, while direct commands reach it. */
  mute = false;
  /** How long an image takes to come, from and to. */
  fetchMs = FETCH_MS;
  /** Whether it sends a heartbeat to the controller that it is sent to at once, or when next due. */
  reportsAtOnce = false;
  /** Switched off, it executes commands whatever their fencing token and epoch. */
  checksTokens = true;
  /** Where direct commands reach it. */
  endpoint: string;
  /** Its tasks by their names; ended ones stay until they are forgotten. */
  readonly tasks = new Map<string, WorkerTask>();
  #epoch = 1;
  #sequence = 0;
  #fencingToken = 0;
  /** The index of the controller that gets the next heartbeat. */
  #controller: number;
  #renewedAt: number;
  /** Something changed that the next heartbeat should tell soon. */
  #hasNews = false;

  constructor(
    private readonly clock: TimeSource,
    readonly rented: Rented,
    private readonly controllers: readonly string[],
    private readonly leaseMs: number,
    private readonly hooks: WorkerHooks,
  ) {
    this.endpoint = `${rented.id}:1`;
    this.#renewedAt = clock.now;
    this.#controller = Math.floor(clock.random() * controllers.length);
    void this.#sendHeartbeats();
    void this.#watchLease();
  }

  /** The machine is gone, with all its tasks. */
  die(): void {
    this.alive = false;
    this.#dropTasks();
  }

  /** A command or question sent straight here. */
  handle(path: string, body: Body | undefined): Out {
    if (path === "/status") return { status: 200, body: this.#status() };
    const token = Number(body?.baton);
    const isStale = token < this.#fencingToken || Number(body?.shift) !== this.#epoch;
    if (isStale && this.checksTokens) return { status: 409, body: this.#status() };
    this.#takeToken(token);
    this.#execute(body?.orders as Body[]);
    return { status: 200, body: this.#status() };
  }

  #dropTasks(): void {
    for (const { stage, task } of this.tasks.values())
      if (stage === "running") this.hooks.left(this, task, false);
    this.tasks.clear();
  }

  async #watchLease(): Promise<void> {
    while (this.alive) {
      await this.clock.sleep(LEASE_LOOK_MS);
      if (!this.alive || this.hangs || this.clock.now - this.#renewedAt <= this.leaseMs) continue;
      this.#dropTasks();
      this.#epoch++;
      this.#renewedAt = this.clock.now;
      this.#hasNews = true;
    }
  }

  /** Its status in the wire's words; each has a sequence of its own. */
  #status(): Body {
    return {
      loom: this.rented.id,
      endpoint: this.endpoint,
      frame: this.rented.type,
      mill: this.rented.zone,
      remnant: this.rented.spot,
      shift: this.#epoch,
      tally: ++this.#sequence,
      baton: this.#fencingToken,
      warningS: null,
      threads: [...this.tasks.values()].map(({ task, attempt, stage, cause }) => ({
        thread: task,
        try: attempt,
        stage,
        ...(cause === undefined ? {} : { cause }),
      })),
    };
  }

  async #sendHeartbeats(): Promise<void> {
    const { clock } = this;
    while (this.alive) {
      const dueAt = clock.now + clock.between(MIN_HEARTBEAT_EVERY_MS, MAX_HEARTBEAT_EVERY_MS);
      await clock.sleep(MIN_HEARTBEAT_GAP_MS);
      while (this.alive && !this.#hasNews && clock.now < dueAt) await clock.sleep(CHANGE_LOOK_MS);
      if (!this.alive) return;
      if (this.hangs) continue;
      this.#hasNews = false;
      const sentAt = clock.now;
      const epoch = this.#epoch;
      const controller = this.controllers[this.#controller] as string;
      const answer = await this.hooks.heartbeat(controller, this.#status());
      if (!this.alive || this.hangs) continue;
      if (this.#onAnswer(answer, sentAt, epoch) !== "try_next") continue;
      this.#controller = (this.#controller + 1) % this.controllers.length;
      await clock.sleep(RETRY_MS);
    }
  }

  #onAnswer(answer: Out | undefined, sentAt: number, epoch: number): HeartbeatOutcome {
    if (this.deaf) return "try_next";
    const body = (answer?.body ?? {}) as Body;
    if (answer?.status === 200) {
      this.#onAccepted(body, sentAt, epoch);
      return "accepted";
    }
    const named = this.controllers.indexOf(String(body.foreman));
    if (answer?.status !== 421 || named < 0 || named === this.#controller) return "try_next";
    this.#controller = named;
    this.#hasNews = this.reportsAtOnce;
    return "redirected";
  }

  #onAccepted(body: Body, sentAt: number, epoch: number): void {
    const token = Number(body.baton);
    const isStale = epoch !== this.#epoch || token < this.#fencingToken;
    if (isStale || this.clock.now - sentAt > MAX_ANSWER_AGE_MS) return;
    this.#takeToken(token);
    this.#renewedAt = sentAt;
    this.#execute(body.orders as Body[]);
  }

  #takeToken(token: number): void {
    if (token > this.#fencingToken) this.#hasNews = true;
    this.#fencingToken = token;
  }

  #execute(commands: readonly Body[]): void {
    for (const { thread, try: attempt, verb } of commands) {
      const task = String(thread);
      const known = this.tasks.get(task);
      if (verb === "run" && known === undefined) this.#start(task, Number(attempt));
      if (known?.attempt !== Number(attempt)) continue;
      if (verb === "kill" && known.stage !== "ended") this.#end(known, "halted");
      if (verb === "forget" && known.stage === "ended") this.tasks.delete(task);
    }
  }

  #start(task: string, attempt: number): void {
    const started: WorkerTask = { task, attempt, stage: "pulling" };
    this.tasks.set(task, started);
    this.#hasNews = true;
    this.clock.after(this.clock.between(...this.fetchMs), () => {
      if (this.tasks.get(task) !== started || started.stage !== "pulling") return;
      started.stage = "running";
      this.#hasNews = true;
      this.hooks.began(this, task);
      const cause = this.hooks.fails(task) ? "error" : "done";
      this.clock.after(this.hooks.runMs(task), () => {
        if (this.tasks.get(task) === started && started.stage === "running")
          this.#end(started, cause);
      });
    });
  }

  #end(ended: WorkerTask, cause: string): void {
    if (ended.stage === "running") this.hooks.left(this, ended.task, cause === "done");
    ended.stage = "ended";
    ended.cause = cause;
    this.#hasNews = true;
  }
}
