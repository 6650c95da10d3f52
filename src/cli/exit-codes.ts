/**
 * The exit codes of the program. The platform restarts a controller after any exit code; the codes
 * are meant for people and scripts. Commander also exits with 1 if an option is invalid.
 */
export const EXIT_CODES = {
  /**
   * A file can't be read or contains invalid settings; standard error has a line for each fault.
   */
  invalidSettings: 1,
  /** The controller could not start its servers; see the log event `can't run`. */
  cannotRun: 1,
} as const;
