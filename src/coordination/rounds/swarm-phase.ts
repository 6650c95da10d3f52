/**
 * The swarm phase of a round: periodically moves tasks that are cheap to restart off underused
 * machines, so that these machines become empty. `scheduling/swarm.ts` has the algorithm and names
 * the paper that it comes from.
 *
 * Owns no state. Changes only the shard's soft state, by stop requests and reservations; later
 * rounds terminate the tasks and start them at their destinations.
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
import { candidateMachines, RESERVATION_TIMEOUT_MS, zoneCounts } from "./candidate-machines.js";

/**
 * One job of each placement group among the waiting jobs, and every job with zone rules, because
 * these also depend on where the job's other tasks run.
 */
const representativeJobs = (waiting: Iterable<LiveJob>): readonly LiveJob[] => {
  const byGroup = new Map<string, LiveJob>();
  const withZoneRules: LiveJob[] = [];
  for (const job of waiting)
    if (hasZoneRules(job.spec)) withZoneRules.push(job);
    else byGroup.set(placementGroupKey(job.spec), job);
  return [...byGroup.values(), ...withZoneRules];
};

/**
 * A predicate for the machines to which a task of this job may move: the job's placement rules
 * permit the machine, and the machine has the image in its cache or can fetch it within one second.
 */
const destinationFilter = (
  state: ShardState,
  job: LiveJob,
  from: CandidateMachine,
  candidates: ReadonlyMap<MachineId, CandidateMachine>,
): SwarmTask["mayRunOn"] => {
  const zones = zoneCounts(state, job);
  zones.set(from.zone, Math.max(0, (zones.get(from.zone) ?? 0) - 1));
  return (to) => {
    const destination = candidates.get(to);
    if (destination === undefined || !isPermitted(job.spec, destination, zones)) return false;
    const { image, imageGb } = job.spec;
    return destination.images.has(image) || imageGb <= destination.fetchGbPerS;
  };
};

/**
 * A machine as input of the swarm algorithm: its tasks that may move, and its used resources
 * without the tasks that are leaving and with those that are expected (n - Q + R in the paper).
 */
const toSwarmMachine = (
  state: ShardState,
  shard: ShardId,
  machine: CandidateMachine,
  candidates: ReadonlyMap<MachineId, CandidateMachine>,
  now: MonotonicMs,
): SwarmMachine => {
  const shardJobs = state.ctx.replica.shardJobs(shard);
  const tasks: SwarmTask[] = [];
  let { usedResources } = machine;
  for (const [task, attempt] of shardJobs.openAttemptsOn(machine.id)) {
    const job = shardJobs.jobs.get(attempt.job);
    if (job === undefined) continue;
    const attemptState = state.attemptStates.get(attempt.key);
    // The tasks of a failing job are not counted as used resources (n in the paper): a job
    // that fails on every machine would otherwise cause other tasks to be moved back and forth.
    const isFailing = (state.jobBackoffs.get(attempt.job)?.failureCount ?? 0) > 0;
    if (attemptState?.stopRequest != null || isFailing || job.cancelledAt !== null) {
      usedResources = subtract(usedResources, job.spec.resources);
      continue;
    }
    const mayRunOn = destinationFilter(state, job, machine, candidates);
    const lostWorkS = state.lostWorkS(job, attemptState, now);
    tasks.push({ task, resources: job.spec.resources, lostWorkS, mayRunOn });
  }
  return { id: machine.id, capacity: machine.capacity, usedResources, tasks };
};

/** Requests stops for the tasks to move and reserves capacity at their destinations. */
const applyMoves = (state: ShardState, shard: ShardId, moves: readonly SwarmMove[]): void => {
  const shardJobs = state.ctx.replica.shardJobs(shard);
  for (const { task, from, to } of moves) {
    const attempt = shardJobs.openAttemptsOn(from).get(task);
    const job = attempt === undefined ? undefined : shardJobs.jobs.get(attempt.job);
    if (attempt === undefined || job === undefined) continue;
    state.requestStop(attempt.key, from, "moved", job.spec.checkpointSaveS);
    state.reserve(task, to, RESERVATION_TIMEOUT_MS);
    state.counters.moves++;
    state.ctx.log.debug("swarm move", { task, from, to });
  }
};

/** Runs one period of the swarm algorithm in one shard. */
export const runSwarmPhase = (state: ShardState, shard: ShardId, now: MonotonicMs): void => {
  const { replica, operators, random } = state.ctx;
  const shardJobs = replica.shardJobs(shard);
  const candidates = candidateMachines(state, shard, new Map(), new Set());
  const waiting = representativeJobs(shardJobs.index.waitingJobs.values());
  const machines: SwarmMachine[] = [];
  for (const candidate of candidates.values()) {
    // A machine that suits a waiting job is skipped: placement fills it, and would also fill the
    // capacity that a move frees.
    const hasDemand = waiting.some(
      (job) =>
        fits(job.spec.resources, candidate.capacity) &&
        isPermitted(job.spec, candidate, zoneCounts(state, job)),
    );
    if (!hasDemand) machines.push(toSwarmMachine(state, shard, candidate, candidates, now));
  }
  const moves = planSwarmMoves(machines, random, {
    maxMoves: Math.max(
      operators.maxSwarmMoves,
      Math.floor(machines.length * operators.maxSwarmMovesFraction),
    ),
    maxLostWorkS: operators.swarmMaxLossS,
  });
  applyMoves(state, shard, moves);
};
