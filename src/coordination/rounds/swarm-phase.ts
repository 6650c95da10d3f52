import type { MachineId, MonotonicMs, ShardId } from "@umberfold/ids";
import {
  type CandidateMachine,
  hasZoneRules,
  isPermitted,
  placementGroupKey,
} from "../../scheduling/placement.js";
import { fits, subtract } from "../../scheduling/resources.js";
import { planSwarmMoves, type SwarmMachine, type SwarmTask } from "../../scheduling/swarm.js";
import type { LiveJob } from "../../storage/records.js";
import type { ShardState } from "../ownership/shard-state.js";
import { candidateMachines, RESERVATION_MS, zoneCounts } from "./candidate-machines.js";

/** One job of each group of waiting jobs that are alike for placement. */
const waitingKinds = (waiting: Iterable<LiveJob>): readonly LiveJob[] => {
  const kinds = new Map<string, LiveJob>();
  const single: LiveJob[] = [];
  for (const job of waiting)
    if (hasZoneRules(job.spec)) single.push(job);
    else kinds.set(placementGroupKey(job.spec), job);
  return [...kinds.values(), ...single];
};

/** A machine as the swarm sees it: n - Q + R, and the tasks that stay. */
const swarmMachine = (
  owned: ShardState,
  shard: ShardId,
  place: CandidateMachine,
  places: ReadonlyMap<MachineId, CandidateMachine>,
  now: MonotonicMs,
): SwarmMachine => {
  const work = owned.ctx.replica.shardJobs(shard);
  const tasks: SwarmTask[] = [];
  let use = place.use;
  for (const [task, o] of work.openAttemptsOn(place.id)) {
    const job = work.jobs.get(o.job);
    if (job === undefined) continue;
    const note = owned.attemptStates.get(o.key);
    // A job that fails everywhere would draw tasks back and forth: it is no part of n.
    const failing = (owned.jobBackoffs.get(o.job)?.failures ?? 0) > 0;
    if (note?.stopRequest != null || failing || job.cancelledAt !== null) {
      use = subtract(use, job.spec.resources);
      continue;
    }
    const zones = zoneCounts(owned, job);
    zones.set(place.zone, Math.max(0, (zones.get(place.zone) ?? 0) - 1));
    tasks.push({
      task,
      resources: job.spec.resources,
      lossS: owned.lossS(job, note, now),
      allowed: (to) => {
        const destination = places.get(to);
        if (destination === undefined || !isPermitted(job.spec, destination, zones)) return false;
        const { image, imageGb } = job.spec;
        return destination.images.has(image) || imageGb <= destination.fetchGbPerS;
      },
    });
  }
  return { id: place.id, capacity: place.capacity, use, tasks };
};

/** The paper's period: tasks cheap to restart leave machines that can be emptied. */
export const runSwarmPhase = (owned: ShardState, shard: ShardId, now: MonotonicMs): void => {
  const { replica, operators, random, log } = owned.ctx;
  const work = replica.shardJobs(shard);
  const places = candidateMachines(owned, shard, new Map(), new Set());
  const waiting = waitingKinds(work.index.waiting.values());
  const machines: SwarmMachine[] = [];
  for (const place of places.values()) {
    // Where a task that waits fits, the place fills by itself; and so would what a move freed.
    const wanted = waiting.some(
      (job) =>
        fits(job.spec.resources, place.capacity) &&
        isPermitted(job.spec, place, zoneCounts(owned, job)),
    );
    if (!wanted) machines.push(swarmMachine(owned, shard, place, places, now));
  }
  const moves = planSwarmMoves(machines, random, {
    cap: Math.max(operators.swarmMoves, Math.floor(machines.length * operators.swarmPart)),
    maxLossS: operators.swarmMaxLossS,
  });
  for (const m of moves) {
    const o = work.openAttemptsOn(m.from).get(m.task);
    const job = o === undefined ? undefined : work.jobs.get(o.job);
    if (o === undefined || job === undefined) continue;
    owned.stop(o.key, m.from, "moved", job.spec.checkpointSaveS);
    owned.reserve(m.task, m.to, RESERVATION_MS);
    owned.counters.moves++;
    log.debug("move", { task: m.task, from: m.from, to: m.to });
  }
};
