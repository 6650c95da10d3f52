/**
 * Chooses machines to transfer to shards that have less than their fair amount of capacity.
 *
 * Owns the transfers requested recently. Invariant: no attempt is stopped for a transfer. An owner
 * that is asked for a machine starts no more tasks there and transfers it once it is empty.
 */
import { type MachineId, type MonotonicMs, monotonicMs, type ShardId } from "@umberfold/ids";
import { planCapacityTransfers, type TeamLoad } from "@umberfold/load-spread";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";

/** How long a requested machine counts as in transfer before another may be requested instead. */
const TRANSFER_TIMEOUT_MS = 10_000;

interface PendingTransfer {
  readonly to: ShardId;
  readonly timeoutAt: MonotonicMs;
}

/** A machine that could be transferred to another shard. */
interface TransferCandidate {
  readonly id: MachineId;
  readonly shard: ShardId;
  readonly cpus: number;
  readonly openAttempts: number;
}

/** Chooses the machines to transfer to other shards, and remembers the requested ones. */
export class MachineBalance {
  readonly #pending = new Map<MachineId, PendingTransfer>();

  constructor(private readonly ctx: ControllerContext) {}

  /** Returns the transfers to request now. Each counts as pending until it times out. */
  dueTransfers(loads: readonly TeamLoad[]): readonly MachineTransferRequest[] {
    const now = monotonicNow();
    for (const [id, { timeoutAt }] of this.#pending) if (timeoutAt <= now) this.#pending.delete(id);
    const candidates = this.#candidates();
    const cpusByShard = this.#cpusByShard(candidates);
    const requests: MachineTransferRequest[] = [];
    for (const { from, to, cpus } of planCapacityTransfers(loads, cpusByShard)) {
      let cpusLeft = cpus;
      for (const candidate of candidates) {
        if (candidate.cpus > cpusLeft) continue;
        if (candidate.shard !== from || this.#pending.has(candidate.id)) continue;
        this.#pending.set(candidate.id, { to, timeoutAt: monotonicMs(now + TRANSFER_TIMEOUT_MS) });
        requests.push({ machine: candidate.id, to, drain: false, whenEmpty: true });
        cpusLeft -= candidate.cpus;
      }
    }
    return requests;
  }

  /** Returns the machines that are up, those with the fewest open attempts first. */
  #candidates(): readonly TransferCandidate[] {
    const { replica } = this.ctx;
    const cpusOf = new Map(replica.machineTypes?.value.map((t) => [t.name, t.capacity.cpus]));
    const candidates: TransferCandidate[] = [];
    for (const [id, { phase, endpoint, shard, type }] of replica.machines) {
      if (phase !== "up" || endpoint === "" || replica.isGone(id)) continue;
      const openAttempts = replica.shardJobs(shard).openAttemptsOn(id).size;
      candidates.push({ id, shard, cpus: cpusOf.get(type) ?? 0, openAttempts });
    }
    return candidates.sort((a, b) => a.openAttempts - b.openAttempts);
  }

  /** Returns the CPUs of each shard. A requested machine counts for its destination. */
  #cpusByShard(candidates: readonly TransferCandidate[]): ReadonlyMap<ShardId, number> {
    const cpusByShard = new Map<ShardId, number>();
    for (const shard of this.ctx.replica.shardOwners.keys()) cpusByShard.set(shard, 0);
    for (const { id, shard, cpus } of candidates) {
      const countedIn = this.#pending.get(id)?.to ?? shard;
      cpusByShard.set(countedIn, (cpusByShard.get(countedIn) ?? 0) + cpus);
    }
    return cpusByShard;
  }
}
