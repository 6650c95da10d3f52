import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import type { ShardState } from "../ownership/shard-state.js";

/** How often, and how many machines at a time, are looked at though nothing was heard of them. */
const SWEEP_MS = 1000;
const SWEEP_MOST = 128;

/**
 * Every machine is looked at now and then, whether or not anything was heard of it; in a large
 * shard a part of them at a time.
 */
export class MachineSweep {
  /** Machines that have yet to be looked at in turn. */
  #left: MachineId[] = [];
  #sweptAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  markDirty({ sessions, dirtyMachines }: ShardState, now: MonotonicMs): void {
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    if (this.#left.length === 0) this.#left = [...sessions.keys()];
    for (const id of this.#left.splice(0, SWEEP_MOST)) if (sessions.has(id)) dirtyMachines.add(id);
  }
}
