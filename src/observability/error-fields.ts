/** How an error of any kind appears in a log line: the one place where an error becomes text. */
import type { LogFields } from "./log.js";

/** `error` is name and message; anything that was thrown without being an `Error` is shown as text. */
export const errorFields = (error: unknown): LogFields => ({ error: String(error) });

/** The same with the stack, for errors that nobody expected. */
export const errorFieldsWithStack = (error: unknown): LogFields =>
  error instanceof Error ? { error: String(error), stack: error.stack } : errorFields(error);
