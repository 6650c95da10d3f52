/**
 * Logs: one JSON object a line, on standard error. The events and their fields are in
 * docs/operations.md.
 *
 * Nothing here has state. Whatever fields an event has, `level`, `event` and the base fields are
 * there as well.
 */

/** How much a line matters: `debug` is for a single job or machine, and may be a flood. */
export type Level = "error" | "info" | "debug";
const LEVEL_ORDER: Readonly<Record<Level, number>> = { error: 0, info: 1, debug: 2 };

/** The fields of an event, by name; durations and sizes have their unit in the name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes events of each level, if that level is on. */
export interface Logger {
  readonly error: (event: string, fields?: LogFields) => void;
  readonly info: (event: string, fields?: LogFields) => void;
  readonly debug: (event: string, fields?: LogFields) => void;
  /** Lets a caller skip gathering fields that no one would see. */
  readonly enabled: (level: Level) => boolean;
}

/** The level that `LOG_LEVEL` names; `info` for anything else. */
export const parseLevel = (name: string | undefined): Level =>
  name === "error" || name === "debug" ? name : "info";

/** A logger that writes this level and what matters more; `base` goes into each line. */
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
