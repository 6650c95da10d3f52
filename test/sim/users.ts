/**
 * The users of a simulation: each submits a job until it is accepted, polls its state until the end
 * of the day, and may cancel it.
 *
 * Only this module adds to the map of submitted jobs. Responses to polls and cancellations go to
 * the safety checker, with the time at which the request was sent.
 */
import { FAULTS_END_MS, type SimulationContext } from "./context.js";
import type { SimulatedControllers } from "./controllers.js";
import type { Body } from "./fakes/message.js";
import type { StoreOutageAfterRefusal } from "./faults.js";
import type { RunningTasks } from "./running-tasks.js";
import type { SafetyChecker } from "./safety/safety-checker.js";
import type { StandIns } from "./stand-ins.js";
import { newUserJob, type UserJob } from "./user-job.js";

const POLL_INTERVAL_MS = 2000;
const RETRY_DELAY_MS = 1000;
/** When the flood of status requests starts; it ends when the faults end. */
const QUESTION_FLOOD_START_MS = 60_000;
/** With `cancelAtEnd`: the time after a job's last task ended in which requests are sent. */
const MAX_DELAY_AFTER_END_MS = 900;
/** With `cancelAtEnd`: the fraction of finished tasks that trigger no such requests. */
const NO_REQUESTS_AT_END_FRACTION = 0.3;

/**
 * A cancellation during a refusal: the controller that gets it, the refused one (both as indexes),
 * and the request whose response confirms it.
 */
export interface RefusalCancellation {
  readonly confirmerIndex: number;
  readonly refusedIndex: number;
  readonly confirmedBy: NonNullable<StoreOutageAfterRefusal["confirmedBy"]>;
}

/** A status request or a repeated submission. */
export type JobRequest = "question" | "repeat";

/** What the users depend on. */
export interface UserDependencies {
  readonly context: SimulationContext;
  readonly controllers: SimulatedControllers;
  readonly checker: SafetyChecker;
  readonly standIns: StandIns;
  readonly tasks: RunningTasks;
  /** All submitted jobs by id, in order of submission. */
  readonly jobs: Map<string, UserJob>;
}

/** All users of one simulation. */
export class SimulatedUsers {
  constructor(private readonly dependencies: UserDependencies) {}

  /** One user: submits until accepted, polls until the end of the day, and may cancel the job. */
  async submitAndPoll(id: string, spec: Body, cancelAfterMs: number | null): Promise<void> {
    const { context, controllers, checker, jobs } = this.dependencies;
    const { clock, occurrences } = context;
    const job = newUserJob(id, spec, clock.now);
    jobs.set(id, job);
    while (!job.accepted) {
      const answer = await controllers.request(context.randomLabel(), "POST", "/work", spec);
      if (answer?.status === 201 || answer?.status === 200) job.accepted = true;
      else if (answer?.status === 400 || answer?.status === 422) {
        context.recordViolation("forgotten", `${id} refused`);
        return;
      } else await clock.sleep(RETRY_DELAY_MS);
    }
    if (cancelAfterMs !== null) clock.after(cancelAfterMs, () => void this.cancel(job));
    for (;;) {
      const factor = this.#pollRateFactor();
      await clock.sleep(POLL_INTERVAL_MS / factor);
      const answer = await controllers.request(context.randomLabel(), "GET", `/work/${id}`);
      if (factor > 1) occurrences.questions++;
      if (factor > 1 && answer?.status === 200) occurrences.answeredQuestions++;
      checker.onJobResponse(job, answer);
    }
  }

  /** Sends one request about a job to a controller. */
  async ask(job: UserJob, label: string, request: JobRequest): Promise<void> {
    const { controllers, checker } = this.dependencies;
    const answer =
      request === "question"
        ? await controllers.request(label, "GET", `/work/${job.id}`)
        : await controllers.request(label, "POST", "/work", job.spec);
    checker.onJobResponse(job, answer);
  }

  /** Cancels a job, with retries until the cancellation is confirmed. */
  async cancel(job: UserJob): Promise<void> {
    const { context, controllers, checker } = this.dependencies;
    job.cancelRequestedAt = context.clock.now;
    for (;;) {
      const path = `/work/${job.id}/withdraw`;
      const answer = await controllers.request(context.randomLabel(), "POST", path);
      checker.onJobResponse(job, answer);
      if (answer?.status === 200) return;
      await context.clock.sleep(RETRY_DELAY_MS);
    }
  }

  /**
   * Cancels a job at one controller while the state store refuses another. The confirmation may
   * come from a third controller, by a status request or a repeated submission. An unconfirmed
   * cancellation is then retried as usual.
   */
  async cancelDuringRefusal(
    job: UserJob,
    { confirmerIndex, refusedIndex, confirmedBy }: RefusalCancellation,
  ): Promise<void> {
    const { context, controllers, checker, standIns } = this.dependencies;
    const { clock, labels, occurrences } = context;
    job.cancelRequestedAt = clock.now;
    const confirmedBefore = job.cancelConfirmedAt;
    const path = `/work/${job.id}`;
    let answer = await controllers.request(
      labels[confirmerIndex] as string,
      "POST",
      `${path}/withdraw`,
    );
    if (confirmedBy !== "cancel") {
      const third = labels.find(
        (_, index) => index !== confirmerIndex && index !== refusedIndex,
      ) as string;
      answer =
        confirmedBy === "question"
          ? await controllers.request(third, "GET", path)
          : await controllers.request(third, "POST", "/work", job.spec);
    }
    checker.onJobResponse(job, answer);
    const isConfirmed = confirmedBefore === null && job.cancelConfirmedAt !== null;
    if (isConfirmed && !standIns.stateStore.isDown) {
      occurrences.confirmedDuringRefusal++;
      if (standIns.findOwnerIndexOfTeam(String(job.spec.crew)) === refusedIndex)
        occurrences.confirmedForRefusedOwner++;
    }
    if (answer?.status !== 200) await this.cancel(job);
  }

  /** When a job's last task is done, may cancel, query and resubmit the job shortly afterwards. */
  onTaskFinished(job: UserJob): void {
    const { context, tasks } = this.dependencies;
    const { clock, scenario, occurrences } = context;
    if (scenario.cancelAtEnd !== true || job.cancelRequestedAt !== null) return;
    if (clock.random() < NO_REQUESTS_AT_END_FRACTION || !tasks.areAllFinished(job)) return;
    occurrences.cancelledAtEnd++;
    const ask = (request: JobRequest): void =>
      clock.after(
        clock.between(0, MAX_DELAY_AFTER_END_MS),
        () => void this.ask(job, context.randomLabel(), request),
      );
    clock.after(clock.between(0, MAX_DELAY_AFTER_END_MS), () => void this.cancel(job));
    ask("question");
    ask("repeat");
  }

  /** The factor by which users currently poll more often than usual. */
  #pollRateFactor(): number {
    const { clock, scenario } = this.dependencies.context;
    const isFlooding = clock.now > QUESTION_FLOOD_START_MS && clock.now < FAULTS_END_MS;
    return isFlooding ? (scenario.questionFlood ?? 1) : 1;
  }
}
