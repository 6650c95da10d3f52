/**
 * Messages to and from the state store: transactions, reads, scans, the watch and leases.
 *
 * Maps field names on the wire to the terms of this code: `ledger` is the store's revision at the
 * time of a response, `mark` the revision of a key, `path` a key, `write` a key to be put, `drop` a
 * key to be deleted and `tenure` a lease. Revisions and leases are integers that may exceed 32
 * bits. Keys and values are opaque here; `src/storage` defines their layout.
 */
import { type LeaseId, leaseId, type Revision, revision } from "@umberfold/ids";
import { count, type Fields, isMap, list, text, toCborInteger } from "./cbor.js";

/** A key with its value and the revision of its last change. */
export interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  readonly rev: Revision;
}

/** A change reported by the watch; for a deleted key, `rev` is the revision of the deletion. */
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

/**
 * A condition of a transaction: the key was last changed at exactly this revision, or is absent.
 */
export interface Condition {
  readonly key: string;
  /** `KEY_ABSENT` for a key that must not exist. */
  readonly rev: Revision;
}

/** The store allows this many times as many conditions as operations in one transaction. */
export const CONDITION_LIMIT_RATIO = 4;

/** An atomic compare-and-swap: if all conditions hold, all operations are applied, else none. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly ops: readonly WriteOperation[];
}

const operationBody = (operation: WriteOperation): Fields => {
  if (operation.kind === "delete") return { drop: operation.key };
  const { key, value, lease } = operation;
  return lease === undefined
    ? { write: key, v: value }
    : { write: key, v: value, tenure: toCborInteger(lease) };
};

const conditionBody = (condition: Condition): Fields => ({
  path: condition.key,
  mark: toCborInteger(condition.rev),
});

/** The body of a transaction with conditions but no operations. */
export const compareBody = (conditions: readonly Condition[]): Fields => ({
  if: conditions.map(conditionBody),
});

/** The body of a transaction. */
export const transactionBody = (transaction: Transaction): Fields => ({
  if: transaction.conditions.map(conditionBody),
  apply: transaction.ops.map(operationBody),
});

/** Parses the store's revision at the time of a response; undefined if there is none. */
export const parseRevision = (body: unknown): Revision | undefined => {
  const ledger = isMap(body) ? count(body.ledger) : undefined;
  return ledger === undefined ? undefined : revision(ledger);
};

/** Parses the keys whose conditions failed in a refused transaction; empty if malformed. */
export const parseFailedKeys = (body: unknown): readonly string[] =>
  (isMap(body) ? list(body.failed) : undefined)?.filter(
    (key): key is string => typeof key === "string",
  ) ?? [];

/** Parses one key with its value, in the response to a read or a scan. */
export const parseKeyValue = (row: unknown): KeyValue | undefined => {
  if (!isMap(row)) return undefined;
  const key = text(row.path);
  const rev = count(row.mark);
  return key === undefined || rev === undefined
    ? undefined
    : { key, value: row.v, rev: revision(rev) };
};

/** One page of a scan, a snapshot at one revision; `hasMore`: another page follows. */
export interface ScanPage {
  readonly items: readonly KeyValue[];
  readonly hasMore: boolean;
  readonly rev: Revision;
}

/**
 * Parses a page of a scan. Refuses the page if one of its items is malformed: without that item,
 * its key would seem to be absent.
 */
export const parseScanPage = (body: unknown): ScanPage | undefined => {
  const rev = parseRevision(body);
  if (!isMap(body) || rev === undefined) return undefined;
  const items = list(body.items)?.map(parseKeyValue);
  if (items === undefined || items.some((item) => item === undefined)) return undefined;
  return { items: items as KeyValue[], hasMore: body.hasNext === true, rev };
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

/** A response of the watch: all changes up to a revision, in order. */
export interface WatchedChanges {
  readonly rev: Revision;
  readonly changes: readonly StoreChange[];
}

/** Parses a response of the watch; without `log`, nothing changed. */
export const parseChanges = (body: unknown): WatchedChanges | undefined => {
  const rev = parseRevision(body);
  if (!isMap(body) || rev === undefined) return undefined;
  const rows = list(body.log)?.map(parseChange) ?? [];
  // Skipping a malformed change would make the replica stale: the caller reads all keys again.
  if (rows.some((change) => change === undefined)) return undefined;
  return { rev, changes: rows as StoreChange[] };
};

/** The body of a request for a lease that expires `ttlMs` after its grant or last renewal. */
export const leaseRequestBody = (ttlMs: number): Fields => ({ ttlMs });

/** Parses the response to a request for a lease. */
export const parseLease = (body: unknown): LeaseId | undefined => {
  const tenure = isMap(body) ? count(body.tenure) : undefined;
  return tenure === undefined ? undefined : leaseId(tenure);
};

/** The paths of all calls to the state store. `after` is exclusive in scans and in the watch. */
export const storePaths = {
  key: (key: string): string => `/store/${key}`,
  scan: (prefix: string, after: string | undefined, limit: number): string =>
    `/store?starts=${prefix}&limit=${limit}${after === undefined ? "" : `&from=${after}`}`,
  transaction: "/txn",
  leases: "/grants",
  renewLease: (lease: LeaseId): string => `/grants/${lease}/touch`,
  lease: (lease: LeaseId): string => `/grants/${lease}`,
  watch: (prefix: string, after: Revision, waitMs: number): string =>
    `/follow?starts=${prefix}&from=${after}&blockMs=${waitMs}`,
} as const;
