/**
 * The exit codes of the program. The platform restarts a controller that ends, whatever its code;
 * the code is for people and scripts. Commander ends with 1 as well where an option is wrong.
 */
export const EXIT_CODES = {
  /** A file can't be read, or something in it is not allowed: standard error has a line for each. */
  invalidSettings: 1,
  /** The controller could not start to serve: see `can't run` in the log. */
  cannotRun: 1,
} as const;
