/**
 * Group commit: combines small writes that users wait for into shared transactions. Writes that
 * arrive while the maximum number of transactions is in flight are queued and sent together in the
 * next one, so accepting many jobs at once takes few requests.
 *
 * Each write gets its own result. If a transaction ends in a conflict, only the writes whose keys
 * the state store names as failed get the conflict; the others are sent again without them.
 */
import type { Transaction, WriteOperation } from "../protocol/store.js";
import type { StateStore, TransactionResult } from "./state-store.js";

/** More than one, so that a transaction that gets no answer does not block all other writes. */
const MAX_IN_FLIGHT_TRANSACTIONS = 2;
/** Upper limit for the values of one transaction, measured as the state store measures them. */
const MAX_TRANSACTION_VALUE_BYTES = 56 * 1024;

/** The state store's limits for one transaction. */
export interface GroupCommitLimits {
  readonly maxOps: number;
  readonly maxConditions: number;
}

interface PendingWrite {
  readonly transaction: Transaction;
  readonly valueBytes: number;
  readonly resolve: (result: TransactionResult) => void;
  /**
   * Set after a shared transaction failed without naming the failed keys: the write is then sent in
   * a transaction of its own, because it is unknown which write caused the failure.
   */
  mustBeSentAlone: boolean;
}

/** Queues writes and sends them in shared transactions. */
export class GroupCommit {
  #queue: PendingWrite[] = [];
  #inFlightCount = 0;

  constructor(
    private readonly store: StateStore,
    private readonly limits: GroupCommitLimits,
  ) {}

  /** Resolves to the result of this write. One that exceeds the limits is sent by itself. */
  commit(transaction: Transaction): Promise<TransactionResult> {
    return new Promise((resolve) => {
      const valueBytes = valueBytesOf(transaction.ops);
      this.#queue.push({ transaction, valueBytes, resolve, mustBeSentAlone: false });
      this.#sendNext();
    });
  }

  #sendNext(): void {
    while (this.#inFlightCount < MAX_IN_FLIGHT_TRANSACTIONS && this.#queue.length > 0) {
      const group = this.#takeGroup();
      this.#inFlightCount++;
      // Not awaited: `#send` never rejects and resolves each write itself.
      void this.#send(group).finally(() => {
        this.#inFlightCount--;
        this.#sendNext();
      });
    }
  }

  /**
   * Removes from the queue the oldest write and all later ones that fit into the same transaction
   * and share no condition key with a write already in it.
   */
  #takeGroup(): readonly PendingWrite[] {
    const group = new WriteGroup(this.limits);
    this.#queue = this.#queue.filter((write) => !group.tryAdd(write));
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
      for (const write of group) write.resolve(result);
      return;
    }
    this.#splitFailedGroup(group, new Set(result.kind === "conflict" ? result.failed : []), result);
  }

  /**
   * Handles a group of which nothing was applied (conflict or refusal). Writes whose keys failed
   * get the result; the others go back to the front of the queue. If the result names no key of the
   * group, all its writes are sent again one by one.
   */
  #splitFailedGroup(
    group: readonly PendingWrite[],
    failedKeys: ReadonlySet<string>,
    result: TransactionResult,
  ): void {
    const failed = group.filter((write) =>
      write.transaction.conditions.some((condition) => failedKeys.has(condition.key)),
    );
    for (const write of failed) write.resolve(result);
    const others = group.filter((write) => !failed.includes(write));
    if (failed.length === 0) for (const write of others) write.mustBeSentAlone = true;
    this.#queue.unshift(...others);
  }
}

/** The writes of one shared transaction. */
class WriteGroup {
  readonly writes: PendingWrite[] = [];
  readonly #conditionKeys = new Set<string>();
  #opCount = 0;
  #conditionCount = 0;
  #valueBytes = 0;

  constructor(private readonly limits: GroupCommitLimits) {}

  /** Adds a write if it fits; the first is always added. Returns whether it was added. */
  tryAdd(write: PendingWrite): boolean {
    if (this.writes.length > 0 && !this.#fits(write)) return false;
    const { ops, conditions } = write.transaction;
    this.writes.push(write);
    this.#opCount += ops.length;
    this.#conditionCount += conditions.length;
    this.#valueBytes += write.valueBytes;
    for (const condition of conditions) this.#conditionKeys.add(condition.key);
    return true;
  }

  #fits(write: PendingWrite): boolean {
    const { ops, conditions } = write.transaction;
    return (
      !write.mustBeSentAlone &&
      this.writes[0]?.mustBeSentAlone !== true &&
      this.#opCount + ops.length <= this.limits.maxOps &&
      this.#conditionCount + conditions.length <= this.limits.maxConditions &&
      this.#valueBytes + write.valueBytes <= MAX_TRANSACTION_VALUE_BYTES &&
      conditions.every((condition) => !this.#conditionKeys.has(condition.key))
    );
  }
}

const valueBytesOf = (ops: readonly WriteOperation[]): number =>
  ops.reduce((sum, op) => sum + (op.kind === "put" ? JSON.stringify(op.value).length : 0), 0);
