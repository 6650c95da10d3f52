/**
 * Work that is done again and again, and how it is kept from taking all of the processor.
 *
 * A task never overlaps itself: its period runs from the end of one run to the start of the next.
 */
import { monotonicNow, sleep } from "../transport/clock.js";

/** Work that is done again and again, `everyMs` after it last ended. */
export interface PeriodicTask {
  /** As logs call it. */
  readonly name: string;
  readonly pauseMs: number;
  /** What it resolves to is of no interest; what it rejects with is logged. */
  readonly run: () => Promise<unknown>;
}

/** A row of a table of tasks. */
export const periodicTask = (
  name: string,
  pauseMs: number,
  run: () => Promise<unknown>,
): PeriodicTask => ({ name, pauseMs, run });

/** Decisions shorter than this need no rest. */
const MIN_RESTED_RUN_MS = 2;

/** A process that was paused in the middle of a decision would otherwise rest for minutes. */
const MAX_REST_MS = 2000;

/**
 * A decision that rests for `times` as long as it took, so that it takes a bounded part of the time.
 * Only its synchronous part is measured: what it then waits for takes no processor time.
 */
export const withProportionalRest =
  (restFactor: number, run: () => Promise<unknown>) => async (): Promise<void> => {
    const startedAt = monotonicNow();
    const done = run();
    const tookMs = monotonicNow() - startedAt;
    await done;
    if (tookMs >= MIN_RESTED_RUN_MS) await sleep(Math.min(MAX_REST_MS, restFactor * tookMs));
  };

/**
 * Runs a task again and again until the returned function is called. A failure is reported and the
 * task tried again: nothing that goes wrong in one ends the process. (As an `effect` schedule each
 * run cost several times what most tasks do: an eighth of a controller's processor time.)
 */
export const startPeriodic = (
  task: PeriodicTask,
  onFailure: (error: unknown) => void,
): (() => void) => {
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  const scheduleNext = (): void => {
    if (!isStopped) timer = setTimeout(runOnce, task.pauseMs);
  };
  const runOnce = (): void => {
    // Never rejects: a failure goes to `onFailure`, which only logs.
    Promise.resolve().then(task.run).catch(onFailure).then(scheduleNext);
  };
  runOnce();
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
};
