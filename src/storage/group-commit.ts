import type { Transaction, WriteOperation } from "../protocol/store.js";
import type { StateStore, TransactionResult } from "./state-store.js";

/** Transactions in flight at a time: one without an answer must not hold all others up. */
const MOST_IN_FLIGHT = 2;
/** What the values of one transaction may take, measured as the state service does. */
const MOST_BYTES = 56 * 1024;

export interface GroupCommitLimits {
  readonly maxOps: number;
  readonly maxConditions: number;
}

interface Entry {
  readonly txn: Transaction;
  readonly bytes: number;
  readonly answer: (r: TransactionResult) => void;
  /** Goes by itself: what it shared a transaction with failed, and nobody said for whose sake. */
  alone: boolean;
}

/**
 * Small writes that users wait for share transactions: what comes while some are in flight goes
 * together in the next. Each has an answer of its own: a conflict is answered to those alone whose
 * keys are named, and the others are tried again without them.
 */
export class GroupCommit {
  #waiting: Entry[] = [];
  #inFlight = 0;

  constructor(
    private readonly store: StateStore,
    private readonly limits: GroupCommitLimits,
  ) {}

  commit(txn: Transaction): Promise<TransactionResult> {
    return new Promise((answer) => {
      this.#waiting.push({ txn, bytes: bytesOf(txn.ops), answer, alone: false });
      this.#next();
    });
  }

  #next(): void {
    while (this.#inFlight < MOST_IN_FLIGHT && this.#waiting.length > 0) {
      const group = this.#takeGroup();
      this.#inFlight++;
      void this.#send(group).finally(() => {
        this.#inFlight--;
        this.#next();
      });
    }
  }

  /** The first that waits, and as many after it as fit and touch other keys. */
  #takeGroup(): readonly Entry[] {
    const group: Entry[] = [];
    const rest: Entry[] = [];
    const keys = new Set<string>();
    let ops = 0;
    let conditions = 0;
    let bytes = 0;
    for (const entry of this.#waiting) {
      const { txn } = entry;
      const first = group.length === 0;
      const fits =
        !entry.alone &&
        !group.some((e) => e.alone) &&
        ops + txn.ops.length <= this.limits.maxOps &&
        conditions + txn.conditions.length <= this.limits.maxConditions &&
        bytes + entry.bytes <= MOST_BYTES &&
        txn.conditions.every((c) => !keys.has(c.key));
      if (!first && !fits) {
        rest.push(entry);
        continue;
      }
      group.push(entry);
      ops += txn.ops.length;
      conditions += txn.conditions.length;
      bytes += entry.bytes;
      for (const c of txn.conditions) keys.add(c.key);
    }
    this.#waiting = rest;
    return group;
  }

  async #send(group: readonly Entry[]): Promise<void> {
    const result = await this.store
      .transactWithRetry({
        conditions: group.flatMap((e) => e.txn.conditions),
        ops: group.flatMap((e) => e.txn.ops),
      })
      .catch((): TransactionResult => ({ kind: "unknown" }));
    if (group.length === 1 || (result.kind !== "conflict" && result.kind !== "refused")) {
      for (const entry of group) entry.answer(result);
      return;
    }
    // Refused as a whole, or in conflict: nothing of it was applied.
    const failed = new Set(result.kind === "conflict" ? result.failed : []);
    const named = group.filter((e) => e.txn.conditions.some((c) => failed.has(c.key)));
    for (const entry of named) entry.answer(result);
    const others = group.filter((e) => !named.includes(e));
    if (named.length === 0) for (const entry of others) entry.alone = true;
    this.#waiting.unshift(...others);
  }
}

const bytesOf = (ops: readonly WriteOperation[]): number =>
  ops.reduce((sum, op) => sum + (op.kind === "put" ? JSON.stringify(op.value).length : 0), 0);
