/**
 * Machines that owners were asked to hand over to another shard.
 *
 * Owns the requests in flight. What must hold: a machine counts as its new shard's from the request
 * on, until it has arrived there or the request has timed out; so no second one is asked for in its
 * place. A request may be lost: it is only a hint to the owner, and nothing depends on it.
 */
import { type MachineId, type MonotonicMs, monotonicMs, type ShardId } from "@umberfold/ids";
import type { MachineTransferRequest } from "../../protocol/peer.js";

/** How long a machine may take to be drained before another is asked for. */
const DRAIN_TRANSFER_TIMEOUT_MS = 6000;
/** The same for a machine that is idle. */
const IDLE_TRANSFER_TIMEOUT_MS = 3000;

interface PendingTransfer {
  readonly to: ShardId;
  readonly expiresAt: MonotonicMs;
}

type TransferState = "pending" | "arrived" | "timed_out";

const transferState = (
  transfer: PendingTransfer,
  currentShard: ShardId,
  now: MonotonicMs,
): TransferState => {
  if (currentShard === transfer.to) return "arrived";
  return transfer.expiresAt > now ? "pending" : "timed_out";
};

/** The transfers that were asked for and have not come about yet. */
export class PendingTransfers {
  readonly #transfers = new Map<MachineId, PendingTransfer>();

  /** Takes in requests that are sent now; a newer one replaces an older one of the same machine. */
  recordRequests(requests: readonly MachineTransferRequest[], now: MonotonicMs): void {
    for (const { machine, to, drain } of requests) {
      const timeoutMs = drain ? DRAIN_TRANSFER_TIMEOUT_MS : IDLE_TRANSFER_TIMEOUT_MS;
      this.#transfers.set(machine, { to, expiresAt: monotonicMs(now + timeoutMs) });
    }
  }

  /** The shard that a machine is about to go to; undefined if it stays in its current shard. */
  destinationOf(machine: MachineId, currentShard: ShardId, now: MonotonicMs): ShardId | undefined {
    const transfer = this.#transfers.get(machine);
    if (transfer === undefined) return undefined;
    if (transferState(transfer, currentShard, now) === "pending") return transfer.to;
    this.#transfers.delete(machine);
    return undefined;
  }
}
