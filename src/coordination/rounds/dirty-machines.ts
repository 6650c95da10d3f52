/**
 * Which machines a round has to examine although no heartbeat or answer marked them dirty: those whose
 * jobs were rewritten by others, those that are gone, and the periodic sweep over all machines.
 *
 * Owns the list of machines that the current pass of the sweep has yet to visit. Each machine in the
 * sessions is marked dirty at least once a pass; a pass over a large shard takes several rounds.
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

/**
 * Marks the machines dirty that have open attempts of jobs rewritten since the last round (by a
 * cancellation, for one), and those that the replica has just learnt to be gone.
 */
export const markReplicaChangesDirty = (state: ShardState): void => {
  const { sessions, dirtyMachines, membership } = state;
  const { replica } = state.ctx;
  for (const id of replica.rewrittenJobs) {
    const shard = replica.shardOf(id);
    // Reading the job would parse the pages of a shard that is not owned here.
    if (shard === undefined || !membership.ownsShard(shard)) continue;
    for (const { machine } of replica.job(id)?.open ?? [])
      if (sessions.has(machine)) dirtyMachines.add(machine);
  }
  for (const id of replica.recentlyGone) if (sessions.has(id)) dirtyMachines.add(id);
  replica.rewrittenJobs.clear();
  replica.recentlyGone.clear();
};
