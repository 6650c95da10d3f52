/**
 * Machines that shards should give to others that lack their fair part.
 *
 * Owns the transfers asked for lately. What must hold: nothing is stopped for them. An owner that is
 * asked for a machine starts nothing more there, and hands it over once it is empty.
 */
import { type MachineId, type MonotonicMs, monotonicMs, type ShardId } from "@umberfold/ids";
import { planCapacityTransfers, type TeamLoad } from "@umberfold/load-spread";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";

/** How long an owner may take to empty a machine before another is asked for. */
const TRANSFER_TIMEOUT_MS = 10_000;

interface PendingTransfer {
  readonly to: ShardId;
  readonly timeoutAt: MonotonicMs;
}

/** A machine that could go to another shard. */
interface TransferCandidate {
  readonly id: MachineId;
  readonly shard: ShardId;
  readonly cpus: number;
  readonly openAttempts: number;
}

/** Chooses the machines that go to another shard, and remembers those asked for. */
export class MachineBalance {
  readonly #pending = new Map<MachineId, PendingTransfer>();

  constructor(private readonly ctx: ControllerContext) {}

  /** The transfers to ask for now; each counts as under way until it times out. */
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

  /** Machines that are up, those with least on them first. */
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

  /** Processors by shard; a machine that was asked for counts where it goes. */
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
