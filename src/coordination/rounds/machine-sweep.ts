/**
 * The periodic look at machines of which nothing was heard.
 *
 * Owns the list of machines that the current pass has yet to visit. Each machine in the sessions is
 * marked dirty at least once a pass; a pass over a large shard takes several rounds.
 */
import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import type { ShardState } from "../ownership/shard-state.js";

const SWEEP_INTERVAL_MS = 1000;
const MAX_MACHINES_PER_SWEEP = 128;

/** Marks all machines dirty in rotation, a limited number at a time. */
export class MachineSweep {
  /** Machines of the current pass that have not been visited yet. */
  #unvisited: MachineId[] = [];
  #lastSweepAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  /** Marks the next machines dirty, at most once per interval. */
  markDirty({ sessions, dirtyMachines }: ShardState, now: MonotonicMs): void {
    if (now - this.#lastSweepAt < SWEEP_INTERVAL_MS) return;
    this.#lastSweepAt = now;
    if (this.#unvisited.length === 0) this.#unvisited = [...sessions.keys()];
    for (const id of this.#unvisited.splice(0, MAX_MACHINES_PER_SWEEP))
      if (sessions.has(id)) dirtyMachines.add(id);
  }
}
