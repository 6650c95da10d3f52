/**
 * All that a controller keeps in memory about the shards it owns: worker sessions, the soft state
 * of machines, attempts and jobs, reservations and counters. It composes these parts and decides
 * nothing; rounds, the worker channel and cancellations read it and change it through the methods
 * of its parts.
 *
 * Nothing here outlives the process, and nothing but the worker sessions proves anything.
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

/** Without a heartbeat for this part of the worker's lease its machine is given nothing new. */
const OVERDUE_HEARTBEAT_LEASE_FRACTION = 0.5;

/** The value of a key, made and kept if there is none. */
const getOrCreate = <K, V>(map: Map<K, V>, key: K, create: () => V): V => {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
};

/** What one controller remembers of the shards it owns. */
export class ShardState {
  readonly #sessions = new WorkerSessions();
  readonly #runTimeRatios = new RunTimeRatios();
  readonly #machineStates = new Map<MachineId, MachineSoftState>();
  readonly #attemptStates = new Map<string, AttemptSoftState>();
  readonly #jobBackoffs = new Map<JobId, JobBackoff>();
  /** The worker session of each machine; changed by `stepSession`, `assignToken`, `syncSessions`. */
  readonly sessions: ReadonlyMap<MachineId, WorkerSession> = this.#sessions.all;
  /** The soft state of machines that have any, in the order in which they first had. */
  readonly machineStates: ReadonlyMap<MachineId, MachineSoftState> = this.#machineStates;
  /** The soft state of open attempts that have any, by attempt key. */
  readonly attemptStates: ReadonlyMap<string, AttemptSoftState> = this.#attemptStates;
  /** The backoff of jobs that had an attempt end here. */
  readonly jobBackoffs: ReadonlyMap<JobId, JobBackoff> = this.#jobBackoffs;
  /**
   * Keys of attempts whose termination is decided and not yet known to be written. A status showed
   * them absent; a start sent after that would run what the record is about to call gone.
   */
  readonly terminatingAttempts = new Set<string>();
  /** Room kept for tasks that move, and for those that others were preempted for. */
  readonly reservations = new Reservations();
  /** Machines of which something changed since the last round: the next one looks at them. */
  readonly dirtyMachines = new Set<MachineId>();
  /** Counts since the start of the process, for `stats()`. */
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
   * @param ctx what all parts of the controller share
   * @param membership tells which shards are owned here
   * @param wake asks for a round soon
   */
  constructor(
    readonly ctx: ControllerContext,
    readonly membership: Membership,
    readonly wake: () => void,
  ) {}

  /** The fencing token under which a machine is commanded: its shard's owner's, or its floor. */
  fencingTokenOf(machine: MachineRecord): FencingToken {
    const owner = this.ctx.replica.shardOwners.get(machine.shard);
    return fencingToken(Math.max(owner?.rev ?? 0, machine.tokenFloor));
  }

  /** Takes an event into a machine's session. The session after it, or undefined if none. */
  stepSession(id: MachineId, event: WorkerSessionEvent): WorkerSession | undefined {
    return this.#sessions.step(id, event);
  }

  /** The machine is commanded under this token from now on; a session begins if there is none. */
  assignToken(id: MachineId, token: FencingToken, now: MonotonicMs): void {
    this.#sessions.assignToken(id, token, now);
  }

  /** Brings sessions in line with the records, and drops soft state of what is no longer there. */
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
    // Its next owner receives its heartbeats: what was counted against it here must not count when
    // it comes back. (Some 140 machines were returned the moment their shard was handed back.)
    for (const id of ended) this.#machineStates.delete(id);
    for (const id of this.#machineStates.keys())
      if (!replica.machines.has(id)) this.#machineStates.delete(id);
    for (const id of this.#jobBackoffs.keys())
      if (!replica.accepted.has(id)) this.#jobBackoffs.delete(id);
    // Attempts that another owner terminated after a shard was handed over.
    for (const [key, attempt] of this.#attemptStates)
      if (!replica.machines.has(attempt.machine)) this.#attemptStates.delete(key);
  }

  /** The soft state of a machine, made if it has none. */
  machineState(id: MachineId): MachineSoftState {
    return getOrCreate(this.#machineStates, id, () => new MachineSoftState());
  }

  /** The soft state of an attempt on this machine, made if it has none. */
  attemptState(key: string, machine: MachineId): AttemptSoftState {
    return getOrCreate(this.#attemptStates, key, () => new AttemptSoftState(machine));
  }

  /** The attempt's termination is written: nothing of it needs to be remembered. */
  forgetAttempt(key: string): void {
    this.#attemptStates.delete(key);
  }

  /** The backoff of a job, made if it has none. */
  jobBackoff(id: JobId): JobBackoff {
    return getOrCreate(this.#jobBackoffs, id, () => new JobBackoff());
  }

  /**
   * The machine answers calls, but has sent no heartbeat for a good part of its lease. Answers to
   * commands don't renew that, so it is given nothing new, and what it killed is started elsewhere.
   * (Started there again, tasks longer than a lease never came to their end.)
   */
  isHeartbeatOverdue(id: MachineId, now: MonotonicMs): boolean {
    const lastHeartbeatAt = this.machineStates.get(id)?.health.lastHeartbeatAt ?? null;
    const silentMs =
      lastHeartbeatAt === null ? 0 : this.ctx.loopLag.readUpTo(now) - lastHeartbeatAt;
    return silentMs > this.ctx.settings.workers.leaseS * 1000 * OVERDUE_HEARTBEAT_LEASE_FRACTION;
  }

  /** Jobs that failed on several machines in a row, with no task completing in between. */
  *failingJobs(): Iterable<JobId> {
    for (const [id, backoff] of this.jobBackoffs)
      if (backoff.failureCount > 0 && backoff.isJobAtFault && this.ctx.replica.accepted.has(id))
        yield id;
  }

  /** Asks for an attempt's stop, with so many seconds to save; the first request stands. */
  requestStop(key: string, machine: MachineId, reason: StopReason, graceS: number): void {
    if (this.attemptState(key, machine).requestStop({ reason, graceS }))
      this.dirtyMachines.add(machine);
  }

  /** Seconds of work that stopping an attempt now would throw away. */
  lossS(job: LiveJob, attempt: AttemptSoftState | undefined, now: MonotonicMs): number {
    if (attempt === undefined || attempt.runningSince === null) return 0;
    const ranS = (now - attempt.runningSince) / 1000;
    const { checkpointIntervalS, checkpointSaveS } = job.spec;
    return checkpointIntervalS > 0 ? Math.min(ranS % checkpointIntervalS, checkpointSaveS) : ranS;
  }

  /** An attempt of the job completed: its class's run time is corrected by how long it ran. */
  recordRunTime(spec: JobSpec, attempt: AttemptSoftState | undefined, now: MonotonicMs): void {
    if (attempt === undefined || attempt.runningSince === null) return;
    this.#runTimeRatios.record(spec, now - attempt.runningSince);
  }

  /** A task's run time in seconds: its user's estimate, corrected by what its class took. */
  expectedRunS(spec: JobSpec): number {
    return this.#runTimeRatios.expectedRunS(spec);
  }

  /** Keeps room for a task on a machine for so many milliseconds. */
  reserve(task: TaskId, machine: MachineId, ms: number): void {
    this.reservations.set(task, { machine, expiresAt: monotonicMs(monotonicNow() + ms) });
  }

  /** The counters, the number of sessions in each state, and the owned shards, for operators. */
  stats(): Readonly<Record<string, unknown>> {
    const sessions: Record<string, number> = {};
    for (const { state } of this.sessions.values()) sessions[state] = (sessions[state] ?? 0) + 1;
    return { ...this.counters, sessions, shards: this.membership.ownedShards() };
  }
}
