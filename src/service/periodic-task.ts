import { sleep, steadyNow } from "../transport/clock.js";

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
export const rested = (times: number, run: () => Promise<unknown>) => async (): Promise<void> => {
  const began = steadyNow();
  const done = run();
  const tookMs = steadyNow() - began;
  await done;
  if (tookMs >= LEAST_REST_MS) await sleep(Math.min(MOST_REST_MS, times * tookMs));
};
