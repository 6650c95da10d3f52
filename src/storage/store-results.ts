/**
 * What an answer of the state store proves, and what it doesn't.
 *
 * How the outcome of a transaction is classified:
 *
 * | outcome of the call            | result        | applied?                                      |
 * | ------------------------------ | ------------- | --------------------------------------------- |
 * | 200 with a revision            | `applied`     | yes, at that revision                         |
 * | 409                            | `conflict`    | no: a condition did not hold                  |
 * | 400                            | `refused`     | no, and never will be                         |
 * | 429                            | `unavailable` | no; `throttled`: the limits were reached      |
 * | 503, or the call was not sent  | `unavailable` | no                                            |
 * | anything else, or no answer    | `unknown`     | perhaps, or it may yet be                     |
 *
 * Only `unknown` leaves open what happened: whoever gets it must find out, by sending the same
 * conditions again (`StateStore.commitUntilDecided`) or by reading the keys.
 */
import type { Revision } from "@umberfold/ids";
import {
  type KeyValue,
  parseChanges,
  parseFailedKeys,
  parseKeyValue,
  parseRevision,
  type StoreChange,
} from "../protocol/store.js";
import type { CallResult } from "../transport/client.js";

/** What became of a transaction. */
export type TransactionResult =
  /** `rev` is the revision of all its changes. */
  | { readonly kind: "applied"; readonly rev: Revision }
  /** Not applied. `failed` names keys whose condition did not hold; it need not name all. */
  | { readonly kind: "conflict"; readonly failed: readonly string[] }
  /** Our lease has expired, or the request is malformed: it never will be applied. */
  | { readonly kind: "refused" }
  /** Not executed; `throttled`: only because the limits were reached at this moment. */
  | { readonly kind: "unavailable"; readonly throttled?: boolean }
  /** May have been applied, or may yet be. */
  | { readonly kind: "unknown" };

/** What became of a comparison. */
export type CompareResult =
  /** All conditions held at one moment after the call. */
  | { readonly kind: "current" }
  /** `failed` names keys whose condition did not hold; it need not name all. */
  | { readonly kind: "conflict"; readonly failed: readonly string[] }
  /** Nothing is proved. */
  | { readonly kind: "unavailable" };

/** What a read of one key found. */
export type ReadResult =
  | { readonly kind: "found"; readonly item: KeyValue }
  /** The key did not exist at `rev`. */
  | { readonly kind: "absent"; readonly rev: Revision }
  /** Nothing is proved. */
  | { readonly kind: "unavailable" };

/** What a watch brought. */
export type WatchResult =
  /** All changes after the revision asked for, up to `rev`. */
  | { readonly kind: "changes"; readonly rev: Revision; readonly changes: readonly StoreChange[] }
  /** The changes can't be had any more, or not all of them could be read: scan again. */
  | { readonly kind: "too_old" }
  | { readonly kind: "unavailable" };

/** See the table at the head of this module. */
export const classifyTransaction = (outcome: CallResult): TransactionResult => {
  if (outcome.kind === "unsent") return { kind: "unavailable" };
  if (outcome.kind === "lost") return { kind: "unknown" };
  switch (outcome.status) {
    case 200: {
      const rev = parseRevision(outcome.body);
      return rev === undefined ? { kind: "unknown" } : { kind: "applied", rev };
    }
    case 409:
      return { kind: "conflict", failed: parseFailedKeys(outcome.body) };
    case 400:
      return { kind: "refused" };
    case 429:
      return { kind: "unavailable", throttled: true };
    case 503:
      return { kind: "unavailable" };
    default:
      return { kind: "unknown" };
  }
};

/** A comparison writes nothing, so whatever isn't an answer to it can be asked again. */
export const classifyComparison = (outcome: CallResult): CompareResult => {
  if (outcome.kind !== "answer") return { kind: "unavailable" };
  if (outcome.status === 200) return { kind: "current" };
  if (outcome.status === 409) return { kind: "conflict", failed: parseFailedKeys(outcome.body) };
  return { kind: "unavailable" };
};

/** 404 counts as an answer only with the revision at which the key was absent. */
export const classifyRead = (outcome: CallResult): ReadResult => {
  if (outcome.kind !== "answer") return { kind: "unavailable" };
  if (outcome.status === 200) {
    const item = parseKeyValue(outcome.body);
    return item === undefined ? { kind: "unavailable" } : { kind: "found", item };
  }
  const rev = outcome.status === 404 ? parseRevision(outcome.body) : undefined;
  return rev === undefined ? { kind: "unavailable" } : { kind: "absent", rev };
};

/** An unreadable list of changes leaves a hole, as one that is too old does: 410. */
export const classifyWatch = (outcome: CallResult): WatchResult => {
  if (outcome.kind !== "answer") return { kind: "unavailable" };
  if (outcome.status === 410) return { kind: "too_old" };
  if (outcome.status !== 200) return { kind: "unavailable" };
  const parsed = parseChanges(outcome.body);
  return parsed === undefined ? { kind: "too_old" } : { kind: "changes", ...parsed };
};
