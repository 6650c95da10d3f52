/**
 * Messages to and from the state store: transactions, reads, scans, the watch and leases.
 *
 * Maps the wire's names (`ledger`, `mark`, `path`, `write`, `drop`, `tenure`) to the glossary's
 * terms. `ledger` is the store's own revision at the time of an answer, `mark` that of one key.
 * Revisions and leases are integers that may exceed 32 bits. Keys and values mean nothing here:
 * their layout is that of `src/storage`.
 */
import { type LeaseId, leaseId, type Revision, revision } from "@umberfold/ids";
import { count, type Fields, isMap, list, text, wide } from "./cbor.js";

/** A key's value, and the revision of its last change. */
export interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  readonly rev: Revision;
}

/** A change that the watch reports; of a deleted key, `rev` is the revision of the deletion. */
export type StoreChange =
  | { readonly kind: "put"; readonly key: string; readonly value: unknown; readonly rev: Revision }
  | { readonly kind: "delete"; readonly key: string; readonly rev: Revision };

/** One change of a transaction. A key put under a lease is deleted when the lease expires. */
export type WriteOperation =
  | {
      readonly kind: "put";
      readonly key: string;
      readonly value: unknown;
      readonly lease?: LeaseId;
    }
  | { readonly kind: "delete"; readonly key: string };

/** What a transaction compares: the key was last changed at just this revision, or is absent. */
export interface Condition {
  readonly key: string;
  /** `KEY_ABSENT` for a key that must not exist. */
  readonly rev: Revision;
}

/** A transaction takes this many conditions for each change that it may make. */
export const CONDITIONS_PER_OP = 4;

/** An atomic compare-and-swap: if all conditions hold, all changes are made, else none. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly ops: readonly WriteOperation[];
}

const operationBody = (operation: WriteOperation): Fields => {
  if (operation.kind === "delete") return { drop: operation.key };
  const { key, value, lease } = operation;
  return lease === undefined
    ? { write: key, v: value }
    : { write: key, v: value, tenure: wide(lease) };
};

const conditionBody = (condition: Condition): Fields => ({
  path: condition.key,
  mark: wide(condition.rev),
});

/** The body of a transaction that only compares. */
export const compareBody = (conditions: readonly Condition[]): Fields => ({
  if: conditions.map(conditionBody),
});

/** The body of a transaction. */
export const transactionBody = (transaction: Transaction): Fields => ({
  if: transaction.conditions.map(conditionBody),
  apply: transaction.ops.map(operationBody),
});

/** The store's revision at the time of an answer; undefined if the answer names none. */
export const parseRevision = (body: unknown): Revision | undefined => {
  const ledger = isMap(body) ? count(body.ledger) : undefined;
  return ledger === undefined ? undefined : revision(ledger);
};

/** The keys whose conditions did not hold, of the answer to a refused transaction; empty if unread. */
export const parseFailedKeys = (body: unknown): readonly string[] =>
  (isMap(body) ? list(body.failed) : undefined)?.filter(
    (key): key is string => typeof key === "string",
  ) ?? [];

/** Reads one key with its value, of an answer to a read or of a scan. */
export const parseKeyValue = (row: unknown): KeyValue | undefined => {
  if (!isMap(row)) return undefined;
  const key = text(row.path);
  const rev = count(row.mark);
  return key === undefined || rev === undefined
    ? undefined
    : { key, value: row.v, rev: revision(rev) };
};

/** One page of a scan, as of one revision; `more`: there are keys after its last. */
export interface ScanPage {
  readonly items: readonly KeyValue[];
  readonly more: boolean;
  readonly rev: Revision;
}

/** Reads a page of a scan. One item that can't be read spoils it: a key would seem to be absent. */
export const parseScanPage = (body: unknown): ScanPage | undefined => {
  const rev = parseRevision(body);
  if (!isMap(body) || rev === undefined) return undefined;
  const items = list(body.items)?.map(parseKeyValue);
  if (items === undefined || items.some((item) => item === undefined)) return undefined;
  return { items: items as KeyValue[], more: body.hasNext === true, rev };
};

const parseChange = (row: unknown): StoreChange | undefined => {
  if (!isMap(row)) return undefined;
  const rev = count(row.mark);
  if (rev === undefined) return undefined;
  const putKey = text(row.write);
  if (putKey !== undefined) return { kind: "put", key: putKey, value: row.v, rev: revision(rev) };
  const deletedKey = text(row.drop);
  return deletedKey === undefined
    ? undefined
    : { kind: "delete", key: deletedKey, rev: revision(rev) };
};

/** What the watch reports: all changes up to a revision, in their order. */
export interface WatchedChanges {
  readonly rev: Revision;
  readonly changes: readonly StoreChange[];
}

/** Reads an answer of the watch; no `log` means that nothing changed. */
export const parseChanges = (body: unknown): WatchedChanges | undefined => {
  const rev = parseRevision(body);
  if (!isMap(body) || rev === undefined) return undefined;
  const rows = list(body.log)?.map(parseChange) ?? [];
  // One unreadable change would leave a hole in the replica: the caller reads all keys again.
  if (rows.some((change) => change === undefined)) return undefined;
  return { rev, changes: rows as StoreChange[] };
};

/** The body of a request for a lease that expires after so many ms without a renewal. */
export const grantBody = (ttlMs: number): Fields => ({ ttlMs });

/** Reads the answer to a request for a lease. */
export const parseLease = (body: unknown): LeaseId | undefined => {
  const tenure = isMap(body) ? count(body.tenure) : undefined;
  return tenure === undefined ? undefined : leaseId(tenure);
};

/** Where each call of the state store goes. `after` is exclusive in scans and in the watch. */
export const storePaths = {
  key: (key: string): string => `/store/${key}`,
  scan: (prefix: string, after: string | undefined, limit: number): string =>
    `/store?starts=${prefix}&limit=${limit}${after === undefined ? "" : `&from=${after}`}`,
  txn: "/txn",
  grants: "/grants",
  renew: (lease: LeaseId): string => `/grants/${lease}/touch`,
  lease: (lease: LeaseId): string => `/grants/${lease}`,
  watch: (prefix: string, after: Revision, waitMs: number): string =>
    `/follow?starts=${prefix}&from=${after}&blockMs=${waitMs}`,
} as const;
