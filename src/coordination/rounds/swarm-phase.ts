/**
 * The swarm phase of a round: the paper's periodic moves, by which tasks that are cheap to restart
 * leave machines that can be emptied.
 *
 * Owns no state. It requests stops and makes reservations in the shard's soft state; the tasks are
 * terminated and started again by later rounds.
 */
import type { MachineId, MonotonicMs, ShardId } from "@umberfold/ids";
import {
  type CandidateMachine,
  hasZoneRules,
  isPermitted,
  placementGroupKey,
} from "../../scheduling/placement.js";
import { fits, subtract } from "../../scheduling/resources.js";
import {
  planSwarmMoves,
  type SwarmMachine,
  type SwarmMove,
  type SwarmTask,
} from "../../scheduling/swarm.js";
import type { LiveJob } from "../../storage/records.js";
import type { ShardState } from "../ownership/shard-state.js";
import { candidateMachines, RESERVATION_MS, zoneCounts } from "./candidate-machines.js";

/** One job of each group of waiting jobs that are alike for placement. */
const representativeJobs = (waiting: Iterable<LiveJob>): readonly LiveJob[] => {
  const byGroup = new Map<string, LiveJob>();
  const withZoneRules: LiveJob[] = [];
  for (const job of waiting)
    if (hasZoneRules(job.spec)) withZoneRules.push(job);
    else byGroup.set(placementGroupKey(job.spec), job);
  return [...byGroup.values(), ...withZoneRules];
};

/** Where a task of this job may move from its machine. */
const destinationRule = (
  state: ShardState,
  job: LiveJob,
  from: CandidateMachine,
  candidates: ReadonlyMap<MachineId, CandidateMachine>,
): SwarmTask["allowed"] => {
  const zones = zoneCounts(state, job);
  zones.set(from.zone, Math.max(0, (zones.get(from.zone) ?? 0) - 1));
  return (to) => {
    const destination = candidates.get(to);
    if (destination === undefined || !isPermitted(job.spec, destination, zones)) return false;
    const { image, imageGb } = job.spec;
    return destination.images.has(image) || imageGb <= destination.fetchGbPerS;
  };
};

/** A machine as the swarm sees it: the paper's n - Q + R, and the tasks that may move. */
const swarmMachine = (
  state: ShardState,
  shard: ShardId,
  machine: CandidateMachine,
  candidates: ReadonlyMap<MachineId, CandidateMachine>,
  now: MonotonicMs,
): SwarmMachine => {
  const shardJobs = state.ctx.replica.shardJobs(shard);
  const tasks: SwarmTask[] = [];
  let { use } = machine;
  for (const [task, attempt] of shardJobs.openAttemptsOn(machine.id)) {
    const job = shardJobs.jobs.get(attempt.job);
    if (job === undefined) continue;
    const attemptState = state.attemptStates.get(attempt.key);
    // A job that fails everywhere would draw tasks back and forth, so it does not count in n.
    const isFailing = (state.jobBackoffs.get(attempt.job)?.failureCount ?? 0) > 0;
    if (attemptState?.stopRequest != null || isFailing || job.cancelledAt !== null) {
      use = subtract(use, job.spec.resources);
      continue;
    }
    const allowed = destinationRule(state, job, machine, candidates);
    const lossS = state.lossS(job, attemptState, now);
    tasks.push({ task, resources: job.spec.resources, lossS, allowed });
  }
  return { id: machine.id, capacity: machine.capacity, use, tasks };
};

/** Stops the tasks that move, and reserves room for them at their destinations. */
const applyMoves = (state: ShardState, shard: ShardId, moves: readonly SwarmMove[]): void => {
  const shardJobs = state.ctx.replica.shardJobs(shard);
  for (const { task, from, to } of moves) {
    const attempt = shardJobs.openAttemptsOn(from).get(task);
    const job = attempt === undefined ? undefined : shardJobs.jobs.get(attempt.job);
    if (attempt === undefined || job === undefined) continue;
    state.requestStop(attempt.key, from, "moved", job.spec.checkpointSaveS);
    state.reserve(task, to, RESERVATION_MS);
    state.counters.moves++;
    state.ctx.log.debug("swarm move", { task, from, to });
  }
};

/** One period of the swarm in one shard. */
export const runSwarmPhase = (state: ShardState, shard: ShardId, now: MonotonicMs): void => {
  const { replica, operators, random } = state.ctx;
  const shardJobs = replica.shardJobs(shard);
  const candidates = candidateMachines(state, shard, new Map(), new Set());
  const waiting = representativeJobs(shardJobs.index.waiting.values());
  const machines: SwarmMachine[] = [];
  for (const candidate of candidates.values()) {
    // Where a waiting task fits, placement fills the machine, and would fill what a move frees too.
    const hasDemand = waiting.some(
      (job) =>
        fits(job.spec.resources, candidate.capacity) &&
        isPermitted(job.spec, candidate, zoneCounts(state, job)),
    );
    if (!hasDemand) machines.push(swarmMachine(state, shard, candidate, candidates, now));
  }
  const moves = planSwarmMoves(machines, random, {
    cap: Math.max(operators.swarmMoves, Math.floor(machines.length * operators.swarmPart)),
    maxLossS: operators.swarmMaxLossS,
  });
  applyMoves(state, shard, moves);
};
