/**
 * A fake of a worker, following its published protocol: fencing tokens, epochs, the worker's lease,
 * heartbeats and commands.
 *
 * Owns its tasks. Invariants: a command with a lower fencing token than the highest one received,
 * or for another epoch, is refused; when the lease expires, all tasks are killed and the epoch
 * increases.
 */
import type { TimeSource } from "../clock.js";

import type { RentedMachine } from "./cloud.js";
import type { Body, FakeResponse } from "./message.js";

const LEASE_CHECK_INTERVAL_MS = 100;
const MIN_HEARTBEAT_INTERVAL_MS = 2250;
const MAX_HEARTBEAT_INTERVAL_MS = 3750;
/** Minimum delay between two heartbeats, also when a change is to be reported early. */
const MIN_HEARTBEAT_GAP_MS = 500;
const CHANGE_CHECK_INTERVAL_MS = 100;
const HEARTBEAT_RETRY_DELAY_MS = 1000;
/** An older response is ignored, since its commands may be stale. */
const MAX_RESPONSE_AGE_MS = 4000;
const IMAGE_FETCH_RANGE_MS: readonly [number, number] = [200, 1500];

/** A task on the worker; `stage` and `cause` have their values on the wire. */
interface WorkerTask {
  readonly task: string;
  readonly attempt: number;
  stage: "pulling" | "running" | "ended";
  cause?: string;
}

/** The callbacks of a worker to the simulation or loopback cluster that runs it. */
export interface WorkerHooks {
  /** Called when the process of a task starts. */
  readonly onTaskStarted: (worker: FakeWorker, task: string) => void;
  /** Called when the process of a task ends; `done` is true if it ended without an error. */
  readonly onTaskEnded: (worker: FakeWorker, task: string, done: boolean) => void;
  /** Returns how long a task runs unless it is stopped. */
  readonly runMs: (task: string) => number;
  /** Returns whether this start of a task will end with an error. */
  readonly failsThisStart: (task: string) => boolean;
  /** Sends a heartbeat to a controller; resolves to undefined if there is no response. */
  readonly heartbeat: (controller: string, status: Body) => Promise<FakeResponse | undefined>;
}

/**
 * What follows from a heartbeat's response: the next heartbeat goes to the same controller, to the
 * one that the response names, or, after a delay, to the next one in the list.
 */
type HeartbeatOutcome = "accepted" | "redirected" | "try_next";

/** One worker, from the boot of its machine until the machine is removed. */
export class FakeWorker {
  /** False once the machine was returned, was reclaimed by the cloud or failed. */
  isAlive = true;
  /** While hanging, it neither executes commands nor sends heartbeats; it may recover. */
  isHanging = false;
  /** While deaf, its heartbeats reach controllers, but responses and commands don't reach it. */
  isDeaf = false;
  /** While muted, its heartbeats reach no controller, but direct commands reach it. */
  isMuted = false;
  /** Minimum and maximum time to pull an image. */
  imageFetchRangeMs = IMAGE_FETCH_RANGE_MS;
  /**
   * If true, a redirected worker sends a heartbeat to the named controller right after the minimum
   * gap; if false, when the next heartbeat is due.
   */
  sendsHeartbeatOnRedirect = false;
  /** If false, it executes commands with any fencing token and epoch. */
  checksTokens = true;
  /** The address for direct commands. */
  endpoint: string;
  /** Its tasks by name; ended tasks are kept until a `forget` command. */
  readonly tasks = new Map<string, WorkerTask>();
  #epoch = 1;
  #sequence = 0;
  #fencingToken = 0;
  /** Index of the controller that gets the next heartbeat. */
  #controllerIndex: number;
  #renewedAt: number;
  /** Whether a change is unreported, so that the next heartbeat is sent early. */
  #hasUnreportedChange = false;

  constructor(
    private readonly clock: TimeSource,
    readonly rented: RentedMachine,
    private readonly controllers: readonly string[],
    private readonly leaseMs: number,
    private readonly hooks: WorkerHooks,
  ) {
    this.endpoint = `${rented.id}:1`;
    this.#renewedAt = clock.now;
    this.#controllerIndex = Math.floor(clock.random() * controllers.length);
    void this.#sendHeartbeats();
    void this.#watchLease();
  }

  /** Ends the worker and all its tasks, as when its machine fails. */
  die(): void {
    this.isAlive = false;
    this.#dropTasks();
  }

  /**
   * Restarts the worker's process within its lease: its tasks are gone, and nothing else changes,
   * since a worker keeps the highest token it has seen.
   */
  restart(): void {
    this.#dropTasks();
    this.#hasUnreportedChange = true;
  }

  /** Handles a request that a controller sent directly to this worker. */
  handle(path: string, body: Body | undefined): FakeResponse {
    if (path === "/status") return { status: 200, body: this.#status() };
    const token = Number(body?.baton);
    const isStale = token < this.#fencingToken || Number(body?.shift) !== this.#epoch;
    if (isStale && this.checksTokens) return { status: 409, body: this.#status() };
    this.#setFencingToken(token);
    this.#execute(body?.orders as Body[]);
    return { status: 200, body: this.#status() };
  }

  #dropTasks(): void {
    for (const { stage, task } of this.tasks.values())
      if (stage === "running") this.hooks.onTaskEnded(this, task, false);
    this.tasks.clear();
  }

  async #watchLease(): Promise<void> {
    while (this.isAlive) {
      await this.clock.sleep(LEASE_CHECK_INTERVAL_MS);
      if (!this.isAlive || this.isHanging || this.clock.now - this.#renewedAt <= this.leaseMs)
        continue;
      this.#dropTasks();
      this.#epoch++;
      this.#renewedAt = this.clock.now;
      this.#hasUnreportedChange = true;
    }
  }

  /** Builds the status message; each one gets the next sequence. */
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
    while (this.isAlive) {
      const dueAt = clock.now + clock.between(MIN_HEARTBEAT_INTERVAL_MS, MAX_HEARTBEAT_INTERVAL_MS);
      await clock.sleep(MIN_HEARTBEAT_GAP_MS);
      while (this.isAlive && !this.#hasUnreportedChange && clock.now < dueAt)
        await clock.sleep(CHANGE_CHECK_INTERVAL_MS);
      if (!this.isAlive) return;
      if (this.isHanging) continue;
      this.#hasUnreportedChange = false;
      const sentAt = clock.now;
      const epoch = this.#epoch;
      const controller = this.controllers[this.#controllerIndex] as string;
      const answer = await this.hooks.heartbeat(controller, this.#status());
      if (!this.isAlive || this.isHanging) continue;
      if (this.#onHeartbeatResponse(answer, sentAt, epoch) !== "try_next") continue;
      this.#controllerIndex = (this.#controllerIndex + 1) % this.controllers.length;
      await clock.sleep(HEARTBEAT_RETRY_DELAY_MS);
    }
  }

  #onHeartbeatResponse(
    answer: FakeResponse | undefined,
    sentAt: number,
    epoch: number,
  ): HeartbeatOutcome {
    if (this.isDeaf) return "try_next";
    const body = (answer?.body ?? {}) as Body;
    if (answer?.status === 200) {
      this.#onHeartbeatAccepted(body, sentAt, epoch);
      return "accepted";
    }
    const named = this.controllers.indexOf(String(body.foreman));
    if (answer?.status !== 421 || named < 0 || named === this.#controllerIndex) return "try_next";
    this.#controllerIndex = named;
    this.#hasUnreportedChange = this.sendsHeartbeatOnRedirect;
    return "redirected";
  }

  #onHeartbeatAccepted(body: Body, sentAt: number, epoch: number): void {
    const token = Number(body.baton);
    const isStale = epoch !== this.#epoch || token < this.#fencingToken;
    if (isStale || this.clock.now - sentAt > MAX_RESPONSE_AGE_MS) return;
    this.#setFencingToken(token);
    this.#renewedAt = sentAt;
    this.#execute(body.orders as Body[]);
  }

  #setFencingToken(token: number): void {
    if (token > this.#fencingToken) this.#hasUnreportedChange = true;
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
    this.#hasUnreportedChange = true;
    this.clock.after(this.clock.between(...this.imageFetchRangeMs), () => {
      if (this.tasks.get(task) !== started || started.stage !== "pulling") return;
      started.stage = "running";
      this.#hasUnreportedChange = true;
      this.hooks.onTaskStarted(this, task);
      const cause = this.hooks.failsThisStart(task) ? "error" : "done";
      this.clock.after(this.hooks.runMs(task), () => {
        if (this.tasks.get(task) === started && started.stage === "running")
          this.#end(started, cause);
      });
    });
  }

  #end(ended: WorkerTask, cause: string): void {
    if (ended.stage === "running") this.hooks.onTaskEnded(this, ended.task, cause === "done");
    ended.stage = "ended";
    ended.cause = cause;
    this.#hasUnreportedChange = true;
  }
}
