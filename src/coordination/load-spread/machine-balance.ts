import { type MachineId, type MonotonicMs, monotonicMs, type ShardId } from "@umberfold/ids";
import { machineShifts, type TeamLoad } from "@umberfold/load-spread";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import type { MachineRecord } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";

/** How long an owner may take to empty a machine before another is asked for. */
const ASKED_MS = 10_000;

interface Candidate {
  readonly id: MachineId;
  readonly machine: MachineRecord;
  readonly cpus: number;
  readonly open: number;
}

/**
 * Machines that shards should give to others that lack their fair part. Nothing is stopped for it: an
 * owner that is asked for a machine starts nothing more there, and hands it over once it is empty.
 */
export class MachineBalance {
  readonly #asked = new Map<MachineId, { readonly to: ShardId; readonly until: MonotonicMs }>();

  constructor(private readonly ctx: ControllerContext) {}

  moves(loads: readonly TeamLoad[]): readonly MachineTransferRequest[] {
    const now = monotonicNow();
    for (const [id, { until }] of this.#asked) if (until <= now) this.#asked.delete(id);
    const candidates = this.#candidates();
    const capacity = this.#capacity(candidates);
    const out: MachineTransferRequest[] = [];
    for (const { from, to, cpus } of machineShifts(loads, capacity)) {
      let left = cpus;
      for (const c of candidates) {
        if (c.cpus > left) continue;
        if (c.machine.shard !== from || this.#asked.has(c.id)) continue;
        this.#asked.set(c.id, { to, until: monotonicMs(now + ASKED_MS) });
        out.push({ machine: c.id, to, drain: false, whenEmpty: true });
        left -= c.cpus;
      }
    }
    return out;
  }

  /** Machines that are up, those with least on them first. */
  #candidates(): readonly Candidate[] {
    const { replica } = this.ctx;
    const cpusOf = new Map(replica.machineTypes?.value.map((t) => [t.name, t.capacity.cpus]));
    const out: Candidate[] = [];
    for (const [id, machine] of replica.machines) {
      if (machine.phase !== "up" || machine.endpoint === "" || replica.isGone(id)) continue;
      const open = replica.shardJobs(machine.shard).openAttemptsOn(id).size;
      out.push({ id, machine, cpus: cpusOf.get(machine.type) ?? 0, open });
    }
    return out.sort((a, b) => a.open - b.open);
  }

  /** Processors by shard; a machine that was asked for counts where it goes. */
  #capacity(candidates: readonly Candidate[]): ReadonlyMap<ShardId, number> {
    const out = new Map<ShardId, number>();
    for (const shard of this.ctx.replica.shardOwners.keys()) out.set(shard, 0);
    for (const { id, machine, cpus } of candidates) {
      const shard = this.#asked.get(id)?.to ?? machine.shard;
      out.set(shard, (out.get(shard) ?? 0) + cpus);
    }
    return out;
  }
}
