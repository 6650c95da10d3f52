import { monotonicNow, sleep } from "../transport/clock.js";

/** Work that is done again and again, `everyMs` after it last ended. */
export interface PeriodicTask {
  readonly name: string;
  readonly everyMs: number;
  readonly run: () => Promise<unknown>;
}

export const periodicTask = (
  name: string,
  everyMs: number,
  run: () => Promise<unknown>,
): PeriodicTask => ({ name, everyMs, run });

/** Decisions shorter than this need no rest. */
const LEAST_REST_MS = 2;

/** A process that stood still in the middle of a decision would else rest for minutes. */
const MOST_REST_MS = 2000;

/** A decision that rests for `times` as long as it took, so that it takes a bounded part of the time. */
export const withProportionalRest =
  (times: number, run: () => Promise<unknown>) => async (): Promise<void> => {
    const began = monotonicNow();
    const done = run();
    const tookMs = monotonicNow() - began;
    await done;
    if (tookMs >= LEAST_REST_MS) await sleep(Math.min(MOST_REST_MS, times * tookMs));
  };

/**
 * Runs a task again and again until the returned function is called. A failure is logged and the
 * task tried again: nothing that goes wrong in one ends the process. (As an `effect` schedule each
 * run cost several times what most tasks do: an eighth of a controller's processor time.)
 */
export const startPeriodic = (
  task: PeriodicTask,
  onFailure: (error: unknown) => void,
): (() => void) => {
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;
  const scheduleNext = (): void => {
    if (!stopped) timer = setTimeout(runOnce, task.everyMs);
  };
  const runOnce = (): void => {
    Promise.resolve().then(task.run).catch(onFailure).then(scheduleNext);
  };
  runOnce();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
};
