/**
 * Transfers requested from owners that have not taken effect yet.
 *
 * Owns the pending requests. A machine counts as part of its destination shard from the request
 * until it has arrived there or the request has timed out, so that no other machine is requested in
 * its place. Requests may be lost: each is only a hint to the owner, and nothing depends on it.
 */
import { type MachineId, type MonotonicMs, monotonicMs, type ShardId } from "@umberfold/ids";
import type { MachineTransferRequest } from "../../protocol/peer.js";

/** How long the transfer of a machine to be drained stays pending. */
const DRAIN_TRANSFER_TIMEOUT_MS = 6000;
/** How long the transfer of an idle machine stays pending. */
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

/** Tracks the requested transfers by machine. */
export class PendingTransfers {
  readonly #transfers = new Map<MachineId, PendingTransfer>();

  /** Records requests sent now. A newer request for a machine replaces the older one. */
  recordRequests(requests: readonly MachineTransferRequest[], now: MonotonicMs): void {
    for (const { machine, to, drain } of requests) {
      const timeoutMs = drain ? DRAIN_TRANSFER_TIMEOUT_MS : IDLE_TRANSFER_TIMEOUT_MS;
      this.#transfers.set(machine, { to, expiresAt: monotonicMs(now + timeoutMs) });
    }
  }

  /** The destination of a machine's pending transfer; undefined if none is pending. */
  destinationOf(machine: MachineId, currentShard: ShardId, now: MonotonicMs): ShardId | undefined {
    const transfer = this.#transfers.get(machine);
    if (transfer === undefined) return undefined;
    if (transferState(transfer, currentShard, now) === "pending") return transfer.to;
    this.#transfers.delete(machine);
    return undefined;
  }
}
