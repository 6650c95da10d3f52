/** Names of jobs and tasks in tests: a task's name is `<job id>/<index>`. */

/** The id of the job with this number; numbers start at one. */
export const jobIdOf = (number: number): string => `wk-${String(number).padStart(6, "0")}`;

/** The id of the job that this task belongs to. */
export const jobIdOfTask = (task: string): string => task.split("/")[0] as string;
