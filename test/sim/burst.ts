/**
 * Bursts: masses of jobs of one team, beside the jobs that a day brings anyway.
 */

import { smallJob } from "./job-spec.js";
import type { Simulation } from "./simulation.js";
import { jobIdOf } from "./task-names.js";

/** One team sends many times its load at once. */
export interface Burst {
  readonly team: string;
  readonly atMs: number;
  /** So many jobs of so many tasks each, within a few seconds or this time. */
  readonly withinMs?: number;
  readonly jobs: number;
  readonly tasks: number;
  /** Jobs whose number is divisible by three fail on days of mistakes; others never do. */
  readonly failing?: boolean;
  /** When the users cancel their jobs, after the burst began. */
  readonly cancelAfterMs?: number;
}

const DEFAULT_WITHIN_MS = 4000;

/** Schedules a burst; its jobs' numbers begin at `firstId`. Returns their ids. */
export const scheduleBurst = (
  simulation: Simulation,
  burst: Burst,
  firstId: number,
): readonly string[] => {
  const ids: string[] = [];
  for (let i = 0; ids.length < burst.jobs; i++) {
    const number = firstId + i;
    if ((number % 3 === 0) !== (burst.failing ?? false)) continue;
    const id = jobIdOf(number);
    ids.push(id);
    const atMs = burst.atMs + ((burst.withinMs ?? DEFAULT_WITHIN_MS) * ids.length) / burst.jobs;
    simulation.clock.after(
      atMs,
      () =>
        void simulation.user(
          id,
          smallJob(id, burst.team, { weave: "b", threads: burst.tasks }),
          burst.cancelAfterMs ?? null,
        ),
    );
  }
  return ids;
};
