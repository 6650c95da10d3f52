/**
 * Checks a simulated day against the protocol's rules and records the violations.
 *
 * It checks each start of a task, each response to a user, the whole cluster periodically, and the
 * day once more at its end. Its own state only serves to avoid repeated reports. Most rules are
 * in the invariant modules of this folder.
 */
import { FAULTS_END_MS } from "../context.js";
import type { ControllerResponse } from "../controllers.js";
import type { Body } from "../fakes/message.js";
import type { FakeWorker } from "../fakes/worker.js";
import { jobIdOfTask } from "../task-names.js";
import type { UserJob } from "../user-job.js";
import { ANSWER_INVARIANTS } from "./answer-invariants.js";
import { findUnserved } from "./service-invariants.js";
import {
  type ClusterView,
  tasksPastCancellation,
  waitsDespiteCapacity,
} from "./standing-invariants.js";
import { START_INVARIANTS } from "./start-invariants.js";

/** Longest time that a job's user may go without a successful response after the faults end. */
const MAX_UNANSWERED_MS = 75_000;
const MAX_WAIT_DESPITE_CAPACITY_MS = 90_000;
const CANCELLATION_CHECK_INTERVAL_MS = 250;
const CAPACITY_CHECK_INTERVAL_MS = 1000;

/** The checker of one simulation. */
export class SafetyChecker {
  readonly #overdueTasks = new Set<string>();
  /** By job id: since when the job has been waiting while a machine has capacity for it. */
  readonly #waitsDespiteCapacitySince = new Map<string, number>();

  constructor(private readonly view: ClusterView) {}

  /** Records and checks the start of a task on a worker. */
  onTaskStarted(worker: FakeWorker, task: string): void {
    const { context, tasks, jobs } = this.view;
    const job = jobs.get(jobIdOfTask(task));
    if (tasks.recordStart(task, worker)) context.recordViolation("ran_twice", task);
    if (job === undefined) {
      context.recordViolation("invented", task);
      return;
    }
    job.startedAt ??= context.clock.now;
    const teamCpus = tasks.addCpus(String(job.spec.crew), Number(job.spec.cpus));
    const quotaCpus = context.scale.quotaCpus;
    for (const { rule, check } of START_INVARIANTS) {
      const details = check({ task, job, worker, tasks, teamCpus, quotaCpus });
      if (details !== undefined) context.recordViolation(rule, details);
    }
    if (job.spec.apart === true) context.occurrences.zoneBoundStarts++;
    if (worker.isMuted) context.occurrences.startsOnMutedMachines++;
  }

  /** Checks a response about a job (undefined: none came) and updates the user's job from it. */
  onJobResponse(job: UserJob, answer: ControllerResponse | undefined): void {
    const { context, tasks } = this.view;
    const { now } = context.clock;
    const unansweredMs = now - Math.max(job.lastAnswerAt, FAULTS_END_MS);
    if (answer?.status !== 200 && unansweredMs > MAX_UNANSWERED_MS) {
      context.recordViolation("forgotten", `${job.id} unanswered`);
      job.lastAnswerAt = now;
    }
    if (answer?.status === 404) context.recordViolation("forgotten", job.id);
    if (answer?.status !== 200) return;
    job.lastAnswerAt = now;
    const state = String((answer.body as Body).stage);
    const countStartedTasks = (): number => tasks.countStartedTasks(job.id);
    for (const { rule, check } of ANSWER_INVARIANTS) {
      const details = check({ job, state, leftAt: answer.leftAt, countStartedTasks });
      if (details !== undefined) context.recordViolation(rule, details);
    }
    if (state === "cancelled") job.cancelConfirmedAt ??= now;
    if ((state === "done" || state === "cancelled") && job.finalState === null) {
      job.finalState = state;
      job.finalStateAt = now;
    }
  }

  /** Starts the check that no task stays on a machine past `cancel_s` after its cancellation. */
  watchCancelledTasks(): void {
    const { context } = this.view;
    for (const task of tasksPastCancellation(this.view)) {
      if (!this.#overdueTasks.has(task)) context.recordViolation("ran_cancelled", task);
      this.#overdueTasks.add(task);
    }
    context.clock.after(CANCELLATION_CHECK_INTERVAL_MS, () => this.watchCancelledTasks());
  }

  /** Schedules the check that no job waits long while a machine has free capacity for it. */
  watchWaitingJobs(): void {
    const check = (): void => {
      for (const job of this.view.jobs.values()) this.#checkWaitingJob(job);
      this.view.context.clock.after(CAPACITY_CHECK_INTERVAL_MS, check);
    };
    this.view.context.clock.after(FAULTS_END_MS, check);
  }

  #checkWaitingJob(job: UserJob): void {
    const { context } = this.view;
    const { now } = context.clock;
    if (!waitsDespiteCapacity(job, this.view)) {
      this.#waitsDespiteCapacitySince.delete(job.id);
      return;
    }
    const since = this.#waitsDespiteCapacitySince.get(job.id) ?? now;
    const isOverdue = now - since >= MAX_WAIT_DESPITE_CAPACITY_MS;
    if (isOverdue) context.recordViolation("left_waiting", job.id);
    this.#waitsDespiteCapacitySince.set(job.id, isOverdue ? now : since);
  }

  /** At the end of the day, checks the service of jobs without a mistake or a cancellation. */
  checkDayService(): void {
    const { context, jobs } = this.view;
    const servable = [...jobs.values()].filter(
      (job) => job.cancelRequestedAt === null && !context.hasMistake(job.id),
    );
    for (const unserved of findUnserved(servable)) context.recordViolation("unserved", unserved);
  }
}
