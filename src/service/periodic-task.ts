/**
 * Periodic tasks, and rests that keep expensive ones from taking all of the processor time.
 *
 * A task never overlaps itself: its pause runs from the end of one run to the start of the next.
 */
import { monotonicNow, sleep } from "../transport/clock.js";

/** Work that is repeated; each run starts `pauseMs` after the previous one has ended. */
export interface PeriodicTask {
  /** The task's name in the logs. */
  readonly name: string;
  readonly pauseMs: number;
  /** The resolved value is ignored; a rejection is logged. */
  readonly run: () => Promise<unknown>;
}

/** Makes one row of a table of tasks. */
export const periodicTask = (
  name: string,
  pauseMs: number,
  run: () => Promise<unknown>,
): PeriodicTask => ({ name, pauseMs, run });

/** Runs shorter than this are not followed by a rest. */
const MIN_RESTED_RUN_MS = 2;

/** Without this limit, a process that was paused in the middle of a run would rest for minutes. */
const MAX_REST_MS = 2000;

/**
 * Wraps `run` so that each run is followed by a rest of `restFactor` times its duration, which
 * bounds the fraction of processor time that it takes. Only the synchronous part of the run is
 * measured, since waiting for I/O takes no processor time.
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
 * Runs a task periodically until the returned function is called. A failed run is reported to
 * `onFailure` and the task continues, so that a failure never ends the process. Doesn't use a
 * schedule of `effect`, whose overhead per run was several times the work of most tasks and took an
 * eighth of a controller's processor time.
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
    // This promise never rejects: failures go to `onFailure`, which only logs them.
    Promise.resolve().then(task.run).catch(onFailure).then(scheduleNext);
  };
  runOnce();
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
};
