export type Level = "error" | "info" | "debug";
const ORDER: Readonly<Record<Level, number>> = { error: 0, info: 1, debug: 2 };

export type LogFields = Readonly<Record<string, unknown>>;

export interface Logger {
  readonly error: (event: string, fields?: LogFields) => void;
  readonly info: (event: string, fields?: LogFields) => void;
  readonly debug: (event: string, fields?: LogFields) => void;
  /** Lets a caller skip gathering fields that no one would see. */
  readonly enabled: (level: Level) => boolean;
}

export const parseLevel = (s: string | undefined): Level =>
  s === "error" || s === "debug" ? s : "info";

/** One JSON object a line, on standard error. */
export const makeLogger = (
  level: Level,
  base: LogFields,
  write: (line: string) => void = (line) => {
    process.stderr.write(line);
  },
): Logger => {
  const at =
    (l: Level) =>
    (event: string, fields: LogFields = {}): void => {
      if (ORDER[l] > ORDER[level]) return;
      write(`${JSON.stringify({ level: l, event, ...base, ...fields })}\n`);
    };
  return {
    error: at("error"),
    info: at("info"),
    debug: at("debug"),
    enabled: (l) => ORDER[l] <= ORDER[level],
  };
};
