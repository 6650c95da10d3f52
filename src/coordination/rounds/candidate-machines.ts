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

/** How long a place is kept for a task that moves. */
export const RESERVATION_MS = 10_000;

/** Spot prices move by a third; what costs this many times the cheapest is of another kind. */
const DEAR = 2;
/** Calls in a row that a machine may leave unanswered and still be given tasks. */
const MOST_UNANSWERED = 1;

const NO_TASKS: ReadonlySet<TaskId> = new Set();

/** Where a job's other open attempts stand, as `oneZone` and `apart` judge them. */
export const zoneCounts = (owned: ShardState, job: LiveJob): Map<string, number> => {
  const zones = new Map<string, number>();
  if (!job.spec.zoneAffinity && !job.spec.spreadAcrossZones) return zones;
  for (const o of job.open) {
    const zone = owned.ctx.replica.machines.get(o.machine)?.zone ?? "";
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }
  return zones;
};

/** Whether a machine of the shard may be given tasks. */
const takesTasks = (owned: ShardState, id: MachineId, machine: MachineRecord): boolean => {
  const session = owned.sessions.get(id);
  if (machine.phase !== "up" || owned.ctx.replica.isGone(id)) return false;
  if (session?.state !== "ready" || session.status?.preemptionNoticeS != null) return false;
  const note = owned.machineState(id);
  if (note.departure.isPending) return false;
  return (
    note.health.unreachableCalls <= MOST_UNANSWERED && !owned.heartbeatOverdue(id, monotonicNow())
  );
};

interface Occupancy {
  readonly use: Resources;
  readonly least: Resources;
}

/** What stood on machines when they were last looked at: it is added up again only after a change. */
const known = new WeakMap<ShardJobs, Map<MachineId, Occupancy & { readonly changes: number }>>();

/** What stands on a machine once the closings of this round are written. */
const occupancyOn = (
  work: ShardJobs,
  id: MachineId,
  closed: ReadonlySet<TaskId> | undefined,
): Occupancy => {
  if (closed !== undefined && closed.size > 0) return addUp(work, id, closed);
  const machines =
    known.get(work) ?? new Map<MachineId, Occupancy & { readonly changes: number }>();
  known.set(work, machines);
  const changes = work.openVersionOn(id);
  const before = machines.get(id);
  if (before?.changes === changes) return before;
  const now = { ...addUp(work, id, NO_TASKS), changes };
  machines.set(id, now);
  return now;
};

const addUp = (work: ShardJobs, id: MachineId, closed: ReadonlySet<TaskId>): Occupancy => {
  let use = NO_RESOURCES;
  let least = UNBOUNDED_RESOURCES;
  for (const [task, o] of work.openAttemptsOn(id)) {
    const needs = work.jobs.get(o.job)?.spec.resources;
    if (needs === undefined || closed.has(task)) continue;
    use = add(use, needs);
    least = minimumOf(least, needs);
  }
  return { use, least };
};

/** Machines of the shard that take tasks, with what stands on them once this round is written. */
export const candidateMachines = (
  owned: ShardState,
  shard: ShardId,
  closed: ReadonlyMap<MachineId, ReadonlySet<TaskId>>,
  edited: ReadonlySet<MachineId>,
): Map<MachineId, CandidateMachine> => {
  const { replica } = owned.ctx;
  const work = replica.shardJobs(shard);
  const out = new Map<MachineId, CandidateMachine>();
  const perCpu = (price: number, cpus: number): number => price / Math.max(1, cpus);
  const types = replica.machineTypes?.value ?? [];
  const shapes = distinctShapes(work.index.distinctResources());
  const byName = new Map(
    types.map((type) => [type.name, { type, rivals: countCompetingShapes(type.capacity, shapes) }]),
  );
  const cheapest = Math.min(...types.map((t) => perCpu(t.spotPrice, t.capacity.cpus)));
  for (const id of owned.sessions.keys()) {
    const machine = replica.machines.get(id);
    if (machine === undefined || machine.shard !== shard || edited.has(id)) continue;
    const known = byName.get(machine.type);
    if (known === undefined || !takesTasks(owned, id, machine)) continue;
    const { use, least: smallestDemand } = occupancyOn(work, id, closed.get(id));
    const price = machine.spot ? known.type.spotPrice : known.type.price;
    out.set(id, {
      id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      capacity: known.type.capacity,
      use,
      smallestDemand,
      price,
      isCostly: perCpu(price, known.type.capacity.cpus) > DEAR * cheapest,
      fetchGbPerS: known.type.fetchGbPerS,
      images: owned.machineState(id).images,
      competingShapes: known.rivals,
    });
  }
  for (const [task, reservation] of owned.reservations) {
    const place = out.get(reservation.to);
    const needs = work.jobs.get(splitTask(task).job)?.spec.resources;
    if (place !== undefined && needs !== undefined) addUse(place, needs);
  }
  return out;
};
