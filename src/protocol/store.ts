import { type LeaseId, leaseId, type Revision, revision } from "@umberfold/ids";
import { count, type Fields, isMap, list, text, wide } from "./cbor.js";

export interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  readonly rev: Revision;
}

export type StoreChange =
  | { readonly kind: "put"; readonly key: string; readonly value: unknown; readonly rev: Revision }
  | { readonly kind: "delete"; readonly key: string; readonly rev: Revision };

export type WriteOperation =
  | {
      readonly kind: "put";
      readonly key: string;
      readonly value: unknown;
      readonly lease?: LeaseId;
    }
  | { readonly kind: "delete"; readonly key: string };

export interface Condition {
  readonly key: string;
  readonly rev: Revision;
}

/** A transaction takes this many conditions for each change that it may make. */
export const CONDITIONS_PER_OP = 4;

export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly ops: readonly WriteOperation[];
}

const opBody = (op: WriteOperation): Fields => {
  if (op.kind === "delete") return { drop: op.key };
  return op.lease === undefined
    ? { write: op.key, v: op.value }
    : { write: op.key, v: op.value, tenure: wide(op.lease) };
};

const conditionBody = (c: Condition): Fields => ({ path: c.key, mark: wide(c.rev) });

/** A transaction that only compares. */
export const compareBody = (conditions: readonly Condition[]): Fields => ({
  if: conditions.map(conditionBody),
});

export const transactionBody = (t: Transaction): Fields => ({
  if: t.conditions.map(conditionBody),
  apply: t.ops.map(opBody),
});

export const parseRevision = (body: unknown): Revision | undefined => {
  const n = isMap(body) ? count(body.ledger) : undefined;
  return n === undefined ? undefined : revision(n);
};

export const parseFailedKeys = (body: unknown): readonly string[] =>
  (isMap(body) ? list(body.failed) : undefined)?.filter(
    (k): k is string => typeof k === "string",
  ) ?? [];

export const parseKeyValue = (v: unknown): KeyValue | undefined => {
  if (!isMap(v)) return undefined;
  const key = text(v.path);
  const rev = count(v.mark);
  return key === undefined || rev === undefined
    ? undefined
    : { key, value: v.v, rev: revision(rev) };
};

export interface ScanPage {
  readonly items: readonly KeyValue[];
  readonly more: boolean;
  readonly rev: Revision;
}

export const parseScanPage = (body: unknown): ScanPage | undefined => {
  const rev = parseRevision(body);
  if (!isMap(body) || rev === undefined) return undefined;
  const items = list(body.items)?.map(parseKeyValue);
  if (items === undefined || items.some((i) => i === undefined)) return undefined;
  return { items: items as KeyValue[], more: body.hasNext === true, rev };
};

const parseChange = (v: unknown): StoreChange | undefined => {
  if (!isMap(v)) return undefined;
  const rev = count(v.mark);
  if (rev === undefined) return undefined;
  const put = text(v.write);
  if (put !== undefined) return { kind: "put", key: put, value: v.v, rev: revision(rev) };
  const gone = text(v.drop);
  return gone === undefined ? undefined : { kind: "delete", key: gone, rev: revision(rev) };
};

export const parseChanges = (
  body: unknown,
): { readonly rev: Revision; readonly changes: readonly StoreChange[] } | undefined => {
  const rev = parseRevision(body);
  if (!isMap(body) || rev === undefined) return undefined;
  const rows = list(body.log)?.map(parseChange) ?? [];
  // One unreadable change would leave a hole in what we know: the caller reads all keys again.
  if (rows.some((c) => c === undefined)) return undefined;
  return { rev, changes: rows as StoreChange[] };
};

export const grantBody = (ttlMs: number): Fields => ({ ttlMs });
export const parseLease = (body: unknown): LeaseId | undefined => {
  const n = isMap(body) ? count(body.tenure) : undefined;
  return n === undefined ? undefined : leaseId(n);
};

/** Where each call of the state service goes. */
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
