/** Bursts: many jobs of one team within a short time, in addition to the jobs of the day. */

import { smallJob } from "./job-spec.js";
import type { Simulation } from "./simulation.js";
import { jobIdOf } from "./task-names.js";

/** A burst of jobs from one team. */
export interface Burst {
  readonly team: string;
  readonly atMs: number;
  /** The jobs are submitted evenly over this time; a few seconds by default. */
  readonly withinMs?: number;
  /** Number of jobs. */
  readonly jobs: number;
  /** Number of tasks of each job. */
  readonly tasks: number;
  /**
   * If true, all jobs get numbers divisible by three, whose tasks always fail if the scenario's
   * `failures` is "always"; otherwise none does.
   */
  readonly failing?: boolean;
  /** How long after its acceptance each job is cancelled; by default jobs are not cancelled. */
  readonly cancelAfterMs?: number;
}

const DEFAULT_SUBMISSION_PERIOD_MS = 4000;

/** Schedules a burst and returns the ids of its jobs, whose numbers start at `firstNumber`. */
export const scheduleBurst = (
  simulation: Simulation,
  burst: Burst,
  firstNumber: number,
): readonly string[] => {
  const ids: string[] = [];
  for (let i = 0; ids.length < burst.jobs; i++) {
    const number = firstNumber + i;
    if ((number % 3 === 0) !== (burst.failing ?? false)) continue;
    const id = jobIdOf(number);
    ids.push(id);
    const atMs =
      burst.atMs + ((burst.withinMs ?? DEFAULT_SUBMISSION_PERIOD_MS) * ids.length) / burst.jobs;
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
