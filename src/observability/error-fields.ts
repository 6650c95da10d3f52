/** Converts errors to log fields; the only place that does so. */
import type { LogFields } from "./log.js";

/** The field `error` has the error's name and message, or a thrown non-error as a string. */
export const errorFields = (error: unknown): LogFields => ({ error: String(error) });

/** The same with the stack, for unexpected errors. */
export const errorFieldsWithStack = (error: unknown): LogFields =>
  error instanceof Error ? { error: String(error), stack: error.stack } : errorFields(error);
