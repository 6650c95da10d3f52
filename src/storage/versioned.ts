/** The pair of a record's value and its revision, by which a write of it is made conditional. */
import type { Revision } from "@umberfold/ids";

/** A record's value, and the revision of the write that it was read at. */
export interface Versioned<T> {
  readonly value: T;
  readonly rev: Revision;
}
