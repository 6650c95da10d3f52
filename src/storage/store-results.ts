/**
 * Classifies the outcomes of calls to the state store by what they prove.
 *
 * Outcomes of a transaction:
 *
 * | outcome of the call            | result        | applied?                                     |
 * | ------------------------------ | ------------- | -------------------------------------------- |
 * | 200 with a revision            | `applied`     | yes, at that revision                        |
 * | 409                            | `conflict`    | no: a condition did not hold                 |
 * | 400                            | `refused`     | no, and never will be                        |
 * | 429                            | `unavailable` | no; `throttled`: a rate limit was exceeded   |
 * | 503, or the call was not sent  | `unavailable` | no                                           |
 * | anything else, or no answer    | `unknown`     | perhaps, or it may be applied later          |
 *
 * After `unknown` the caller must find out what happened, either by sending the transaction with
 * the same conditions again (`StateStore.commitUntilDecided`) or by reading the keys.
 */
import type { MonotonicMs, Revision } from "@umberfold/ids";
import {
  type KeyValue,
  parseChanges,
  parseFailedKeys,
  parseKeyValue,
  parseRevision,
  type StoreChange,
} from "../protocol/store.js";
import type { CallResult } from "../transport/client.js";

/** The result of a transaction. */
export type TransactionResult =
  /** Applied at some time after `sentAt`; all its changes have the revision `rev`. */
  | { readonly kind: "applied"; readonly rev: Revision; readonly sentAt: MonotonicMs }
  /** Not applied. `failed` names keys whose condition did not hold; it need not name all. */
  | { readonly kind: "conflict"; readonly failed: readonly string[] }
  /** This controller's lease has expired or the request is malformed: it will never be applied. */
  | { readonly kind: "refused" }
  /** Not executed; `throttled` is set if the only reason was an exceeded rate limit. */
  | { readonly kind: "unavailable"; readonly throttled?: boolean }
  /** May have been applied, or may be applied later. */
  | { readonly kind: "unknown" };

/** The result of a comparison: a transaction of conditions only, without changes. */
export type CompareResult =
  /** All conditions held at one moment after the call began. */
  | { readonly kind: "current" }
  /** `failed` names keys whose condition did not hold; it need not name all. */
  | { readonly kind: "conflict"; readonly failed: readonly string[] }
  /** Neither confirmed nor refuted. */
  | { readonly kind: "unavailable" };

/** The result of reading one key. */
export type ReadResult =
  | { readonly kind: "found"; readonly item: KeyValue }
  /** The key did not exist at `rev`. */
  | { readonly kind: "absent"; readonly rev: Revision }
  /** Unknown whether the key exists. */
  | { readonly kind: "unavailable" };

/** The result of a watch. */
export type WatchResult =
  /** All changes after the requested revision, up to and including `rev`. */
  | { readonly kind: "changes"; readonly rev: Revision; readonly changes: readonly StoreChange[] }
  /** Some changes are missing (no longer kept, or unreadable): a new scan is needed. */
  | { readonly kind: "too_old" }
  | { readonly kind: "unavailable" };

/**
 * Classifies the outcome of a transaction; see the table in the module comment.
 *
 * @param sentAt when the transaction was sent
 */
export const classifyTransaction = (
  outcome: CallResult,
  sentAt: MonotonicMs,
): TransactionResult => {
  if (outcome.kind === "unsent") return { kind: "unavailable" };
  if (outcome.kind === "lost") return { kind: "unknown" };
  switch (outcome.status) {
    case 200: {
      const rev = parseRevision(outcome.body);
      return rev === undefined ? { kind: "unknown" } : { kind: "applied", rev, sentAt };
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

/**
 * Classifies the outcome of a comparison. It writes nothing and can be repeated safely, so there is
 * no `unknown`: a missing or unexpected answer is `unavailable`.
 */
export const classifyComparison = (outcome: CallResult): CompareResult => {
  if (outcome.kind !== "answer") return { kind: "unavailable" };
  if (outcome.status === 200) return { kind: "current" };
  if (outcome.status === 409) return { kind: "conflict", failed: parseFailedKeys(outcome.body) };
  return { kind: "unavailable" };
};

/**
 * Classifies the outcome of a read. 404 proves a key absent only if the answer has the revision at
 * which it was absent.
 */
export const classifyRead = (outcome: CallResult): ReadResult => {
  if (outcome.kind !== "answer") return { kind: "unavailable" };
  if (outcome.status === 200) {
    const item = parseKeyValue(outcome.body);
    return item === undefined ? { kind: "unavailable" } : { kind: "found", item };
  }
  const rev = outcome.status === 404 ? parseRevision(outcome.body) : undefined;
  return rev === undefined ? { kind: "unavailable" } : { kind: "absent", rev };
};

/**
 * Classifies the outcome of a watch. After an unreadable list of changes some are missing, as after
 * 410 (the requested revision is too old), so both are `too_old`.
 */
export const classifyWatch = (outcome: CallResult): WatchResult => {
  if (outcome.kind !== "answer") return { kind: "unavailable" };
  if (outcome.status === 410) return { kind: "too_old" };
  if (outcome.status !== 200) return { kind: "unavailable" };
  const parsed = parseChanges(outcome.body);
  return parsed === undefined ? { kind: "too_old" } : { kind: "changes", ...parsed };
};
