/**
 * Everything that a controller keeps in memory about the shards it owns: worker sessions, the soft
 * state of machines, attempts and jobs, reservations and counters. It only holds these objects and
 * makes no decisions. Rounds, the worker channel and cancellations read them and change them by
 * their methods.
 *
 * Everything here is lost with the process. Only a worker session may serve as evidence of what
 * runs on a machine; soft state merely guides decisions.
 */
import {
  type FencingToken,
  fencingToken,
  type JobId,
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type TaskId,
} from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import type { LiveJob, MachineRecord } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import { AttemptSoftState, type StopReason } from "./attempt-soft-state.js";
import { JobBackoff } from "./job-backoff.js";
import { MachineSoftState } from "./machine-soft-state.js";
import { Reservations } from "./reservations.js";
import { RunTimeRatios } from "./run-time-ratios.js";
import type { WorkerSession, WorkerSessionEvent } from "./worker-session.js";
import { WorkerSessions } from "./worker-sessions.js";

/** After this fraction of the worker's lease without a heartbeat its machine gets no new tasks. */
const OVERDUE_HEARTBEAT_LEASE_FRACTION = 0.5;

/** The value of a key, created and inserted if there is none. */
const getOrCreate = <K, V>(map: Map<K, V>, key: K, create: () => V): V => {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
};

/** The in-memory state of the shards that one controller owns. */
export class ShardState {
  readonly #sessions = new WorkerSessions();
  readonly #runTimeRatios = new RunTimeRatios();
  readonly #machineStates = new Map<MachineId, MachineSoftState>();
  readonly #attemptStates = new Map<string, AttemptSoftState>();
  readonly #jobBackoffs = new Map<JobId, JobBackoff>();
  /** The session of each machine; changed by `stepSession`, `assignToken` and `syncSessions`. */
  readonly sessions: ReadonlyMap<MachineId, WorkerSession> = this.#sessions.all;
  /** The soft state of the machines that have any, in insertion order. */
  readonly machineStates: ReadonlyMap<MachineId, MachineSoftState> = this.#machineStates;
  /** The soft state of the open attempts that have any, by attempt key. */
  readonly attemptStates: ReadonlyMap<string, AttemptSoftState> = this.#attemptStates;
  /** The backoff of the jobs of which an attempt ended under this owner. */
  readonly jobBackoffs: ReadonlyMap<JobId, JobBackoff> = this.#jobBackoffs;
  /**
   * Keys of attempts whose termination the current round has decided, but may not have written yet.
   * They must not be started: a status showed them absent, and a start sent now would run an
   * attempt that the record is about to show as terminated.
   */
  readonly terminatingAttempts = new Set<string>();
  /** Capacity reserved for tasks that move, and for tasks for which others were preempted. */
  readonly reservations = new Reservations();
  /** Machines that have changed since the last round; the next round examines them. */
  readonly dirtyMachines = new Set<MachineId>();
  /** Totals since the start of the process, for `stats()`. */
  readonly counters = {
    preempted: 0,
    starts: 0,
    done: 0,
    lost: 0,
    errors: 0,
    moves: 0,
    commits: 0,
    puts: 0,
    conflicts: 0,
  };

  /**
   * @param ctx the context that all parts of the controller share
   * @param membership knows which shards this controller owns
   * @param wake requests a round soon
   */
  constructor(
    readonly ctx: ControllerContext,
    readonly membership: Membership,
    readonly wake: () => void,
  ) {}

  /**
   * The fencing token for commands to a machine: its shard owner's, or its token floor if higher.
   */
  fencingTokenOf(machine: MachineRecord): FencingToken {
    const owner = this.ctx.replica.shardOwners.get(machine.shard);
    return fencingToken(Math.max(owner?.rev ?? 0, machine.tokenFloor));
  }

  /** Applies an event to a machine's session. Returns the new session, or undefined if none. */
  stepSession(id: MachineId, event: WorkerSessionEvent): WorkerSession | undefined {
    return this.#sessions.step(id, event);
  }

  /** Sets the fencing token for commands to the machine, and begins a session if there is none. */
  assignToken(id: MachineId, token: FencingToken, now: MonotonicMs): void {
    this.#sessions.assignToken(id, token, now);
  }

  /** Brings sessions in line with the records, and removes soft state that has become obsolete. */
  syncSessions(now: MonotonicMs): void {
    const { replica } = this.ctx;
    const ended = this.#sessions.sync(
      {
        replica,
        ownedShards: this.membership.ownedShards(),
        fencingTokenOf: (machine) => this.fencingTokenOf(machine),
      },
      now,
    );
    if (ended === undefined) return;
    // While another controller owns the machine, its heartbeats arrive there. Failures counted here
    // must not count when the shard comes back. (About 140 machines were once returned to the cloud
    // at the moment their shard was handed back.)
    for (const id of ended) this.#machineStates.delete(id);
    for (const id of this.#machineStates.keys())
      if (!replica.machines.has(id)) this.#machineStates.delete(id);
    for (const id of this.#jobBackoffs.keys())
      if (!replica.acceptedJobs.has(id)) this.#jobBackoffs.delete(id);
    // Another owner terminated these after a handover, so `forgetAttempt` wasn't called here.
    for (const [key, attempt] of this.#attemptStates)
      if (!replica.machines.has(attempt.machine)) this.#attemptStates.delete(key);
  }

  /** The soft state of a machine, created if it has none. */
  machineState(id: MachineId): MachineSoftState {
    return getOrCreate(this.#machineStates, id, () => new MachineSoftState());
  }

  /** The soft state of an attempt on this machine, created if it has none. */
  attemptState(key: string, machine: MachineId): AttemptSoftState {
    return getOrCreate(this.#attemptStates, key, () => new AttemptSoftState(machine));
  }

  /** Removes the soft state of an attempt whose termination has been written. */
  forgetAttempt(key: string): void {
    this.#attemptStates.delete(key);
  }

  /** The backoff of a job, created if it has none. */
  jobBackoff(id: JobId): JobBackoff {
    return getOrCreate(this.#jobBackoffs, id, () => new JobBackoff());
  }

  /**
   * Whether the machine has sent no heartbeat for a large fraction of its lease, even if it answers
   * direct calls. Answers don't renew the lease, so the worker kills its tasks when the lease
   * expires. The machine gets no new tasks, and the killed ones are started elsewhere: if they were
   * started there again, tasks longer than a lease would never complete.
   */
  isHeartbeatOverdue(id: MachineId, now: MonotonicMs): boolean {
    const lastHeartbeatAt = this.machineStates.get(id)?.health.lastHeartbeatAt ?? null;
    const silentMs =
      lastHeartbeatAt === null ? 0 : this.ctx.eventLoopLag.readUpTo(now) - lastHeartbeatAt;
    return silentMs > this.ctx.settings.workers.leaseS * 1000 * OVERDUE_HEARTBEAT_LEASE_FRACTION;
  }

  /** Jobs that are at fault themselves and have failed since a task of theirs last completed. */
  *failingJobs(): Iterable<JobId> {
    for (const [id, backoff] of this.jobBackoffs)
      if (backoff.failureCount > 0 && backoff.isJobAtFault && this.ctx.replica.acceptedJobs.has(id))
        yield id;
  }

  /**
   * Requests that an attempt stops, with `graceS` seconds to save; ignored if already requested.
   */
  requestStop(key: string, machine: MachineId, reason: StopReason, graceS: number): void {
    if (this.attemptState(key, machine).requestStop({ reason, graceS }))
      this.dirtyMachines.add(machine);
  }

  /** Seconds of work that would be lost if the attempt were stopped now. */
  lostWorkS(job: LiveJob, attempt: AttemptSoftState | undefined, now: MonotonicMs): number {
    if (attempt === undefined || attempt.runningSince === null) return 0;
    const ranS = (now - attempt.runningSince) / 1000;
    const { checkpointIntervalS, checkpointSaveS } = job.spec;
    return checkpointIntervalS > 0 ? Math.min(ranS % checkpointIntervalS, checkpointSaveS) : ranS;
  }

  /** Records the run time of a completed attempt, to correct the estimates of its job class. */
  recordRunTime(spec: JobSpec, attempt: AttemptSoftState | undefined, now: MonotonicMs): void {
    if (attempt === undefined || attempt.runningSince === null) return;
    this.#runTimeRatios.record(spec, now - attempt.runningSince);
  }

  /** A task's run time in seconds: the user's estimate, corrected by the runs of its job class. */
  expectedRunS(spec: JobSpec): number {
    return this.#runTimeRatios.expectedRunS(spec);
  }

  /** Reserves capacity for a task on a machine, for `durationMs`. */
  reserve(task: TaskId, machine: MachineId, durationMs: number): void {
    this.reservations.set(task, { machine, expiresAt: monotonicMs(monotonicNow() + durationMs) });
  }

  /** The counters, the number of sessions in each state, and the owned shards, for operators. */
  stats(): Readonly<Record<string, unknown>> {
    const sessions: Record<string, number> = {};
    for (const { state } of this.sessions.values()) sessions[state] = (sessions[state] ?? 0) + 1;
    return { ...this.counters, sessions, shards: this.membership.ownedShards() };
  }
}
