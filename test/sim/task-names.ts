/** How jobs of tests and their tasks are named. */

/** The id of a job by its number, from one. */
export const jobIdOf = (number: number): string => `wk-${String(number).padStart(6, "0")}`;

/** The id of the job that a task belongs to. */
export const jobIdOfTask = (task: string): string => task.split("/")[0] as string;
