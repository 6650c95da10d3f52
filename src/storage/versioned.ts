/** A record's value with its revision, on which a later write of the record is conditional. */
import type { Revision } from "@umberfold/ids";

/** A record's value and the revision at which it was written. */
export interface Versioned<T> {
  readonly value: T;
  readonly rev: Revision;
}
