/**
 * Group commit: small writes that users wait for share transactions. What comes while some are in
 * flight goes together in the next, so that accepts in masses cost few requests.
 *
 * Each write has an answer of its own: a conflict is answered to those alone whose keys are named,
 * and the others are tried again without them.
 */
import type { Transaction, WriteOperation } from "../protocol/store.js";
import type { StateStore, TransactionResult } from "./state-store.js";

/** Transactions in flight at a time: one without an answer must not delay all others. */
const MAX_IN_FLIGHT = 2;
/** What the values of one transaction may take, measured as the state store does. */
const MAX_VALUE_BYTES = 56 * 1024;

/** What the state store takes in one transaction. */
export interface GroupCommitLimits {
  readonly maxOps: number;
  readonly maxConditions: number;
}

interface PendingWrite {
  readonly transaction: Transaction;
  readonly valueBytes: number;
  readonly answer: (result: TransactionResult) => void;
  /** Goes by itself: what it shared a transaction with failed, and no key was named. */
  mustGoAlone: boolean;
}

/** The queue of writes that wait to be sent. */
export class GroupCommit {
  #waiting: PendingWrite[] = [];
  #inFlight = 0;

  constructor(
    private readonly store: StateStore,
    private readonly limits: GroupCommitLimits,
  ) {}

  /** Resolves to what became of this write. One beyond the limits is sent by itself. */
  commit(transaction: Transaction): Promise<TransactionResult> {
    return new Promise((answer) => {
      const valueBytes = valueBytesOf(transaction.ops);
      this.#waiting.push({ transaction, valueBytes, answer, mustGoAlone: false });
      this.#sendNext();
    });
  }

  #sendNext(): void {
    while (this.#inFlight < MAX_IN_FLIGHT && this.#waiting.length > 0) {
      const group = this.#takeGroup();
      this.#inFlight++;
      // Each write is answered within, so nobody waits for the promise.
      void this.#send(group).finally(() => {
        this.#inFlight--;
        this.#sendNext();
      });
    }
  }

  /** The first that waits, and as many after it as fit and have conditions on other keys. */
  #takeGroup(): readonly PendingWrite[] {
    const group = new WriteGroup(this.limits);
    this.#waiting = this.#waiting.filter((write) => !group.tryAdd(write));
    return group.writes;
  }

  async #send(group: readonly PendingWrite[]): Promise<void> {
    const result = await this.store
      .transactWithRetry({
        conditions: group.flatMap((write) => write.transaction.conditions),
        ops: group.flatMap((write) => write.transaction.ops),
      })
      .catch((): TransactionResult => ({ kind: "unknown" }));
    if (group.length === 1 || (result.kind !== "conflict" && result.kind !== "refused")) {
      for (const write of group) write.answer(result);
      return;
    }
    this.#separate(group, new Set(result.kind === "conflict" ? result.failed : []), result);
  }

  /** Refused as a whole, or in conflict: nothing of the group was applied. */
  #separate(
    group: readonly PendingWrite[],
    failedKeys: ReadonlySet<string>,
    result: TransactionResult,
  ): void {
    const failed = group.filter((write) =>
      write.transaction.conditions.some((condition) => failedKeys.has(condition.key)),
    );
    for (const write of failed) write.answer(result);
    const others = group.filter((write) => !failed.includes(write));
    if (failed.length === 0) for (const write of others) write.mustGoAlone = true;
    this.#waiting.unshift(...others);
  }
}

/** Writes that go in one transaction. */
class WriteGroup {
  readonly writes: PendingWrite[] = [];
  readonly #keys = new Set<string>();
  #ops = 0;
  #conditions = 0;
  #valueBytes = 0;

  constructor(private readonly limits: GroupCommitLimits) {}

  /** Adds a write if it may join; the first always may. */
  tryAdd(write: PendingWrite): boolean {
    if (this.writes.length > 0 && !this.#fits(write)) return false;
    const { ops, conditions } = write.transaction;
    this.writes.push(write);
    this.#ops += ops.length;
    this.#conditions += conditions.length;
    this.#valueBytes += write.valueBytes;
    for (const condition of conditions) this.#keys.add(condition.key);
    return true;
  }

  #fits(write: PendingWrite): boolean {
    const { ops, conditions } = write.transaction;
    return (
      !write.mustGoAlone &&
      this.writes[0]?.mustGoAlone !== true &&
      this.#ops + ops.length <= this.limits.maxOps &&
      this.#conditions + conditions.length <= this.limits.maxConditions &&
      this.#valueBytes + write.valueBytes <= MAX_VALUE_BYTES &&
      conditions.every((condition) => !this.#keys.has(condition.key))
    );
  }
}

const valueBytesOf = (ops: readonly WriteOperation[]): number =>
  ops.reduce((sum, op) => sum + (op.kind === "put" ? JSON.stringify(op.value).length : 0), 0);
