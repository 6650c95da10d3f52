/**
 * The filter step of placement: which machines of a shard may be given tasks in this round, and how
 * much of each is in use.
 *
 * Owns a cache of the use of each machine, keyed by the shard's jobs and the version of the machine's
 * open attempts. A candidate's use counts every open attempt that this round does not terminate, and
 * every reservation.
 */
import { type MachineId, type ShardId, splitTask, type TaskId } from "@umberfold/ids";
import type { Resources } from "../../protocol/jobs.js";
import {
  addUse,
  type CandidateMachine,
  countCompetingShapes,
  distinctShapes,
} from "../../scheduling/placement.js";
import { add, minimumOf, NO_RESOURCES, UNBOUNDED_RESOURCES } from "../../scheduling/resources.js";
import type { LiveJob, MachineRecord } from "../../storage/records.js";
import type { ShardJobs } from "../../storage/shard-jobs.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";

/** How long room is reserved for a task that moves or preempts. */
export const RESERVATION_MS = 10_000;

/**
 * A machine is costly if its price per processor is this many times that of the cheapest type: spot
 * prices vary by a third, so more than this is a different kind of machine.
 */
const COSTLY_PRICE_RATIO = 2;
/** Calls in a row that a machine may leave unanswered and still be given tasks. */
const MAX_UNANSWERED_CALLS = 1;

const NO_TASKS: ReadonlySet<TaskId> = new Set();

/** Open attempts of one job by zone. */
export type MutableZoneCounts = Map<string, number>;

/**
 * In which zones a job's open attempts are. Empty for jobs without zone affinity and without spread
 * across zones, for which it is not needed.
 */
export const zoneCounts = (state: ShardState, job: LiveJob): MutableZoneCounts => {
  const zones: MutableZoneCounts = new Map();
  if (!job.spec.zoneAffinity && !job.spec.spreadAcrossZones) return zones;
  for (const attempt of job.open) {
    const zone = state.ctx.replica.machines.get(attempt.machine)?.zone ?? "";
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }
  return zones;
};

/** Whether a machine of the shard may be given tasks. */
const mayTakeTasks = (state: ShardState, id: MachineId, record: MachineRecord): boolean => {
  const session = state.sessions.get(id);
  if (record.phase !== "up" || state.ctx.replica.isGone(id)) return false;
  if (session?.state !== "ready" || session.status?.preemptionNoticeS != null) return false;
  const { departure, health } = state.machineState(id);
  if (departure.isPending) return false;
  return (
    health.failedCallsSinceAnswer <= MAX_UNANSWERED_CALLS &&
    !state.isHeartbeatOverdue(id, monotonicNow())
  );
};

/** What the open attempts on a machine take. */
interface MachineOccupancy {
  readonly use: Resources;
  /** The smallest demand of each resource among them; unbounded if there are none. */
  readonly smallestDemand: Resources;
}

interface CachedOccupancy extends MachineOccupancy {
  /** The version of the machine's open attempts that it was summed up for. */
  readonly openVersion: number;
}

/** Occupancy at the last look, per shard and machine: summed up again only after a change. */
const occupancyCaches = new WeakMap<ShardJobs, Map<MachineId, CachedOccupancy>>();

/** Occupancy of a machine once the terminations of this round are written. */
const occupancyOf = (
  shardJobs: ShardJobs,
  id: MachineId,
  terminated: ReadonlySet<TaskId> | undefined,
): MachineOccupancy => {
  if (terminated !== undefined && terminated.size > 0)
    return sumOccupancy(shardJobs, id, terminated);
  const cache = occupancyCaches.get(shardJobs) ?? new Map<MachineId, CachedOccupancy>();
  occupancyCaches.set(shardJobs, cache);
  const openVersion = shardJobs.openVersionOn(id);
  const cached = cache.get(id);
  if (cached?.openVersion === openVersion) return cached;
  const occupancy = { ...sumOccupancy(shardJobs, id, NO_TASKS), openVersion };
  cache.set(id, occupancy);
  return occupancy;
};

const sumOccupancy = (
  shardJobs: ShardJobs,
  id: MachineId,
  terminated: ReadonlySet<TaskId>,
): MachineOccupancy => {
  let use = NO_RESOURCES;
  let smallestDemand = UNBOUNDED_RESOURCES;
  for (const [task, attempt] of shardJobs.openAttemptsOn(id)) {
    const resources = shardJobs.jobs.get(attempt.job)?.spec.resources;
    if (resources === undefined || terminated.has(task)) continue;
    use = add(use, resources);
    smallestDemand = minimumOf(smallestDemand, resources);
  }
  return { use, smallestDemand };
};

const pricePerCpu = (price: number, cpus: number): number => price / Math.max(1, cpus);

/** Counts the room that is reserved for tasks that move or preempt as use of its machine. */
const addReservations = (
  state: ShardState,
  shardJobs: ShardJobs,
  candidates: ReadonlyMap<MachineId, CandidateMachine>,
): void => {
  for (const [task, reservation] of state.reservations) {
    const candidate = candidates.get(reservation.machine);
    const resources = shardJobs.jobs.get(splitTask(task).job)?.spec.resources;
    if (candidate !== undefined && resources !== undefined) addUse(candidate, resources);
  }
};

/**
 * Machines of the shard that may be given tasks, with their use once this round is written.
 *
 * @param terminatedByMachine tasks whose attempts this round terminates
 * @param changedMachines machines whose records this round changes: nothing starts there
 */
export const candidateMachines = (
  state: ShardState,
  shard: ShardId,
  terminatedByMachine: ReadonlyMap<MachineId, ReadonlySet<TaskId>>,
  changedMachines: ReadonlySet<MachineId>,
): Map<MachineId, CandidateMachine> => {
  const { replica } = state.ctx;
  const shardJobs = replica.shardJobs(shard);
  const candidates = new Map<MachineId, CandidateMachine>();
  const types = replica.machineTypes?.value ?? [];
  const shapes = distinctShapes(shardJobs.index.distinctResources());
  const typesByName = new Map(
    types.map((type) => [
      type.name,
      { type, competingShapes: countCompetingShapes(type.capacity, shapes) },
    ]),
  );
  const cheapest = Math.min(...types.map((t) => pricePerCpu(t.spotPrice, t.capacity.cpus)));
  for (const id of state.sessions.keys()) {
    const record = replica.machines.get(id);
    if (record === undefined || record.shard !== shard || changedMachines.has(id)) continue;
    const known = typesByName.get(record.type);
    if (known === undefined || !mayTakeTasks(state, id, record)) continue;
    const { type, competingShapes } = known;
    const { use, smallestDemand } = occupancyOf(shardJobs, id, terminatedByMachine.get(id));
    const price = record.spot ? type.spotPrice : type.price;
    candidates.set(id, {
      id,
      type: record.type,
      zone: record.zone,
      spot: record.spot,
      capacity: type.capacity,
      use,
      smallestDemand,
      price,
      isCostly: pricePerCpu(price, type.capacity.cpus) > COSTLY_PRICE_RATIO * cheapest,
      fetchGbPerS: type.fetchGbPerS,
      images: state.machineState(id).imageCache,
      competingShapes,
    });
  }
  addReservations(state, shardJobs, candidates);
  return candidates;
};
