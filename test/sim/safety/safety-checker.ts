/**
 * Judges a simulated day by the protocol's rules and records what is broken.
 *
 * Owns only what it needs to report a breach once. It is told of each start and of each answer to
 * a user, looks at the whole cluster from time to time, and once more at the end; the rules
 * themselves are the lists of invariants beside it.
 */
import { CALM_MS } from "../context.js";
import type { Body, Out } from "../fakes/message.js";
import type { FakeWorker } from "../fakes/worker.js";
import { jobIdOfTask } from "../task-names.js";
import type { UserJob } from "../user-job.js";
import { ANSWER_INVARIANTS } from "./answer-invariants.js";
import { unservedOf } from "./service-invariants.js";
import {
  type StandingView,
  tasksPastCancellation,
  waitsBesideRoom,
} from "./standing-invariants.js";
import { START_INVARIANTS } from "./start-invariants.js";

/** Once the faults are over, no job may go without an answer for this long. */
const MAX_UNANSWERED_MS = 75_000;
const MAX_WAIT_BESIDE_ROOM_MS = 90_000;
const CANCELLATION_LOOK_MS = 250;
const ROOM_LOOK_MS = 1000;

/** The checker of one simulation. */
export class SafetyChecker {
  readonly #overdueTasks = new Set<string>();
  /** Since when a job waits beside a machine with room, by job id. */
  readonly #besideRoomSince = new Map<string, number>();

  constructor(private readonly view: StandingView) {}

  /** A worker starts a task: enters it among the running ones and checks it. */
  onStart(worker: FakeWorker, task: string): void {
    const { context, tasks, jobs } = this.view;
    const job = jobs.get(jobIdOfTask(task));
    if (tasks.begin(task, worker)) context.violate("ran_twice", task);
    if (job === undefined) {
      context.violate("invented", task);
      return;
    }
    job.startedAt ??= context.clock.now;
    const teamCpus = tasks.addCpus(String(job.spec.crew), Number(job.spec.cpus));
    const quotaCpus = context.scale.quotaCpus;
    for (const { rule, check } of START_INVARIANTS) {
      const seen = check({ task, job, worker, tasks, teamCpus, quotaCpus });
      if (seen !== undefined) context.violate(rule, seen);
    }
    if (job.spec.apart === true) context.occurrences.zoneBoundStarts++;
    if (worker.mute) context.occurrences.startsOnMutedMachines++;
  }

  /** A user got an answer about a job, or none: checks it and enters it in the job. */
  onAnswer(job: UserJob, answer: Out | undefined, askedAt: number): void {
    const { context, tasks } = this.view;
    const { now } = context.clock;
    const unansweredMs = now - Math.max(job.lastAnswerAt, CALM_MS);
    if (answer?.status !== 200 && unansweredMs > MAX_UNANSWERED_MS) {
      context.violate("forgotten", `${job.id} unanswered`);
      job.lastAnswerAt = now;
    }
    if (answer?.status === 404) context.violate("forgotten", job.id);
    if (answer?.status !== 200) return;
    job.lastAnswerAt = now;
    const state = String((answer.body as Body).stage);
    const startedTasks = (): number => tasks.startedTasks(job.id);
    for (const { rule, check } of ANSWER_INVARIANTS) {
      const seen = check({ job, state, askedAt, startedTasks });
      if (seen !== undefined) context.violate(rule, seen);
    }
    if (state === "cancelled") job.cancelConfirmedAt ??= now;
    if ((state === "done" || state === "cancelled") && job.finalState === null) {
      job.finalState = state;
      job.finalStateAt = now;
    }
  }

  /** From now on: no task of a cancelled job is on a machine for longer than `cancel_s`. */
  watchCancelledTasks(): void {
    const { context } = this.view;
    for (const task of tasksPastCancellation(this.view)) {
      if (!this.#overdueTasks.has(task)) context.violate("ran_cancelled", task);
      this.#overdueTasks.add(task);
    }
    context.clock.after(CANCELLATION_LOOK_MS, () => this.watchCancelledTasks());
  }

  /** Once the faults are over: no job waits for long beside a machine with room that it may use. */
  watchWaitingJobs(): void {
    const look = (): void => {
      for (const job of this.view.jobs.values()) this.#lookAtWaiting(job);
      this.view.context.clock.after(ROOM_LOOK_MS, look);
    };
    this.view.context.clock.after(CALM_MS, look);
  }

  #lookAtWaiting(job: UserJob): void {
    const { context } = this.view;
    const { now } = context.clock;
    if (!waitsBesideRoom(job, this.view)) {
      this.#besideRoomSince.delete(job.id);
      return;
    }
    const since = this.#besideRoomSince.get(job.id) ?? now;
    const isOverdue = now - since >= MAX_WAIT_BESIDE_ROOM_MS;
    if (isOverdue) context.violate("left_waiting", job.id);
    this.#besideRoomSince.set(job.id, isOverdue ? now : since);
  }

  /** At the end of the day: what of the jobs that nobody cancelled was not served. */
  checkServed(): void {
    const { context, jobs } = this.view;
    const asked = [...jobs.values()].filter(
      (job) => job.cancelRequestedAt === null && !context.hasMistake(job.id),
    );
    for (const what of unservedOf(asked)) context.violate("unserved", what);
  }
}
