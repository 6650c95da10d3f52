/**
 * The filter step of placement: selects the machines of a shard on which tasks may start in this
 * round, and computes how much of each machine's capacity is in use.
 *
 * Owns a cache of the resources in use on each machine. An entry is valid as long as the version
 * number of the machine's open attempts stays the same. A candidate's use includes every open
 * attempt that this round does not terminate, and every reservation.
 */
import { type MachineId, type ShardId, splitTask, type TaskId } from "@umberfold/ids";
import type { Resources } from "../../protocol/jobs.js";
import {
  addUsedResources,
  type CandidateMachine,
  countCompetingShapes,
  distinctShapes,
} from "../../scheduling/placement.js";
import { add, minimumOf, NO_RESOURCES, UNBOUNDED_RESOURCES } from "../../scheduling/resources.js";
import type { LiveJob, MachineRecord } from "../../storage/records.js";
import type { ShardJobs } from "../../storage/shard-jobs.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";

/** How long capacity stays reserved for a task that is moved or that preempted others. */
export const RESERVATION_TIMEOUT_MS = 10_000;

/**
 * A machine is costly if its price per processor exceeds the lowest spot price per processor by
 * more than this factor. Spot prices vary by a third, so a larger ratio means a different kind of
 * machine.
 */
const COSTLY_PRICE_RATIO = 2;
/** A machine with more consecutive unanswered command calls than this is given no tasks. */
const MAX_UNANSWERED_CALLS = 1;

const NO_TASKS: ReadonlySet<TaskId> = new Set();

/** The number of one job's open attempts in each zone. */
export type MutableZoneCounts = Map<string, number>;

/**
 * Counts a job's open attempts by zone. Returns an empty map for a job without zone rules (zone
 * affinity or spread across zones), because its placement does not depend on these counts.
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

/**
 * Whether tasks may start on a machine of the shard: its record says that it is up, its session is
 * ready, it has no preemption notice, no transfer or decommission is pending, and it answers calls
 * and sends heartbeats.
 */
const isSchedulable = (state: ShardState, id: MachineId, record: MachineRecord): boolean => {
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

/** The resources that the open attempts on a machine use. */
interface MachineOccupancy {
  readonly usedResources: Resources;
  /** The smallest demand for each resource among these attempts; infinite if there are none. */
  readonly smallestDemand: Resources;
}

interface CachedOccupancy extends MachineOccupancy {
  /** The version of the machine's open attempts from which this entry was computed. */
  readonly openAttemptsVersion: number;
}

/** Cached occupancy by shard and machine, recomputed only after the open attempts change. */
const occupancyCaches = new WeakMap<ShardJobs, Map<MachineId, CachedOccupancy>>();

/** The occupancy of a machine without the tasks whose attempts this round terminates. */
const occupancyOf = (
  shardJobs: ShardJobs,
  id: MachineId,
  terminated: ReadonlySet<TaskId> | undefined,
): MachineOccupancy => {
  if (terminated !== undefined && terminated.size > 0)
    return sumOccupancy(shardJobs, id, terminated);
  const cache = occupancyCaches.get(shardJobs) ?? new Map<MachineId, CachedOccupancy>();
  occupancyCaches.set(shardJobs, cache);
  const openAttemptsVersion = shardJobs.openAttemptsVersionOn(id);
  const cached = cache.get(id);
  if (cached?.openAttemptsVersion === openAttemptsVersion) return cached;
  const occupancy = { ...sumOccupancy(shardJobs, id, NO_TASKS), openAttemptsVersion };
  cache.set(id, occupancy);
  return occupancy;
};

const sumOccupancy = (
  shardJobs: ShardJobs,
  id: MachineId,
  terminated: ReadonlySet<TaskId>,
): MachineOccupancy => {
  let usedResources = NO_RESOURCES;
  let smallestDemand = UNBOUNDED_RESOURCES;
  for (const [task, attempt] of shardJobs.openAttemptsOn(id)) {
    const resources = shardJobs.jobs.get(attempt.job)?.spec.resources;
    if (resources === undefined || terminated.has(task)) continue;
    usedResources = add(usedResources, resources);
    smallestDemand = minimumOf(smallestDemand, resources);
  }
  return { usedResources, smallestDemand };
};

const pricePerCpu = (price: number, cpus: number): number => price / Math.max(1, cpus);

/** Adds each reservation to the used resources of the machine on which the capacity is reserved. */
const addReservations = (
  state: ShardState,
  shardJobs: ShardJobs,
  candidates: ReadonlyMap<MachineId, CandidateMachine>,
): void => {
  for (const [task, reservation] of state.reservations) {
    const candidate = candidates.get(reservation.machine);
    const resources = shardJobs.jobs.get(splitTask(task).job)?.spec.resources;
    if (candidate !== undefined && resources !== undefined) addUsedResources(candidate, resources);
  }
};

/**
 * The machines of the shard on which tasks may start, with their use as it will be after this round
 * is committed.
 *
 * @param terminatedByMachine tasks whose attempts this round terminates, by machine
 * @param changedMachines machines whose records this round changes: they are excluded
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
  const lowestPricePerCpu = Math.min(
    ...types.map((t) => pricePerCpu(t.spotPrice, t.capacity.cpus)),
  );
  for (const id of state.sessions.keys()) {
    const record = replica.machines.get(id);
    if (record === undefined || record.shard !== shard || changedMachines.has(id)) continue;
    const typeEntry = typesByName.get(record.type);
    if (typeEntry === undefined || !isSchedulable(state, id, record)) continue;
    const { type, competingShapes } = typeEntry;
    const { usedResources, smallestDemand } = occupancyOf(
      shardJobs,
      id,
      terminatedByMachine.get(id),
    );
    const price = record.spot ? type.spotPrice : type.price;
    candidates.set(id, {
      id,
      type: record.type,
      zone: record.zone,
      spot: record.spot,
      capacity: type.capacity,
      usedResources,
      smallestDemand,
      price,
      isCostly: pricePerCpu(price, type.capacity.cpus) > COSTLY_PRICE_RATIO * lowestPricePerCpu,
      fetchGbPerS: type.fetchGbPerS,
      images: state.machineState(id).imageCache,
      competingShapes,
    });
  }
  addReservations(state, shardJobs, candidates);
  return candidates;
};
