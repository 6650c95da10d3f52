/**
 * Marks machines dirty, so that the next round examines them, for reasons other than a heartbeat or
 * the answer to a call: another writer changed the record of a job that has open attempts there,
 * the machine is gone, or the periodic sweep over all machines has reached it.
 *
 * Owns the list of machines that the current pass of the sweep has not visited yet. Each pass marks
 * every machine that has a session dirty; a pass over many machines takes several sweeps.
 */
import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import type { ShardState } from "../ownership/shard-state.js";

const SWEEP_INTERVAL_MS = 1000;
const MAX_MACHINES_PER_SWEEP = 128;

/** Marks all machines dirty in rotation, a limited number per sweep. */
export class MachineSweep {
  /** Machines of the current pass that have not been visited yet. */
  #unvisited: MachineId[] = [];
  #lastSweepAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  /** Marks the next machines of the pass dirty, unless the sweep interval is not over yet. */
  markDirty({ sessions, dirtyMachines }: ShardState, now: MonotonicMs): void {
    if (now - this.#lastSweepAt < SWEEP_INTERVAL_MS) return;
    this.#lastSweepAt = now;
    if (this.#unvisited.length === 0) this.#unvisited = [...sessions.keys()];
    for (const id of this.#unvisited.splice(0, MAX_MACHINES_PER_SWEEP))
      if (sessions.has(id)) dirtyMachines.add(id);
  }
}

/**
 * Marks machines dirty that are affected by what the replica has received since the last round:
 * machines with open attempts of a job whose record was rewritten (by a cancellation, for example),
 * and machines that are newly known to be gone.
 */
export const markReplicaChangesDirty = (state: ShardState): void => {
  const { sessions, dirtyMachines, membership } = state;
  const { replica } = state.ctx;
  for (const id of replica.rewrittenJobs) {
    const shard = replica.shardOf(id);
    // Skipped before the job is read: that would parse the pages of a shard not owned here.
    if (shard === undefined || !membership.ownsShard(shard)) continue;
    for (const { machine } of replica.job(id)?.open ?? [])
      if (sessions.has(machine)) dirtyMachines.add(machine);
  }
  for (const id of replica.recentlyGoneMachines) if (sessions.has(id)) dirtyMachines.add(id);
  replica.rewrittenJobs.clear();
  replica.recentlyGoneMachines.clear();
};
