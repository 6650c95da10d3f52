/**
 * Logging: one JSON object per line on standard error. docs/operations.md describes the events and
 * their fields.
 *
 * Stateless. Each line has `level`, `event` and the base fields besides the event's own fields.
 */

/** Log levels; `debug` logs events of single jobs and machines, which may be very many lines. */
export type Level = "error" | "info" | "debug";
const LEVEL_ORDER: Readonly<Record<Level, number>> = { error: 0, info: 1, debug: 2 };

/** The fields of an event by name; names of durations and sizes include the unit. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes the events whose level is enabled. */
export interface Logger {
  readonly error: (event: string, fields?: LogFields) => void;
  readonly info: (event: string, fields?: LogFields) => void;
  readonly debug: (event: string, fields?: LogFields) => void;
  /** Whether a level is enabled, so that callers can avoid computing fields that aren't logged. */
  readonly enabled: (level: Level) => boolean;
}

/** The level for a value of `LOG_LEVEL`; `info` if it is missing or unknown. */
export const parseLevel = (name: string | undefined): Level =>
  name === "error" || name === "debug" ? name : "info";

/** A logger for `threshold` and the more severe levels; each line contains the fields of `base`. */
export const makeLogger = (
  threshold: Level,
  base: LogFields,
  write: (line: string) => void = (line) => {
    process.stderr.write(line);
  },
): Logger => {
  const enabled = (level: Level): boolean => LEVEL_ORDER[level] <= LEVEL_ORDER[threshold];
  const writerOf =
    (level: Level) =>
    (event: string, fields: LogFields = {}): void => {
      if (enabled(level)) write(`${JSON.stringify({ level, event, ...base, ...fields })}\n`);
    };
  return {
    error: writerOf("error"),
    info: writerOf("info"),
    debug: writerOf("debug"),
    enabled,
  };
};
