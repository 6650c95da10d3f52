import {
  type FencingToken,
  fencingToken,
  type JobId,
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type Revision,
  type ShardId,
  type TaskId,
} from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import type { LiveJob, MachineRecord } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import {
  type AttemptSoftState,
  type JobBackoff,
  type MachineSoftState,
  newJobBackoff,
  newMachineSoftState,
  type StopReason,
} from "./soft-state.js";
import {
  newWorkerSession,
  stepWorkerSession,
  type WorkerSession,
  type WorkerSessionEvent,
} from "./worker-session.js";

/** A job that failed on so many machines is at fault itself, for all that is known. */
export const JOB_FAULT_MACHINES = 3;
/** Without a report of its own for this part of its lease a machine takes nothing more. */
const UNHEARD_PART = 0.5;

/** What a owner knows of the shards it holds: sessions, notes and counters, and nothing it does. */
export class ShardState {
  readonly sessions = new Map<MachineId, WorkerSession>();
  readonly attemptStates = new Map<string, AttemptSoftState>();
  /**
   * Attempts whose closing is decided but not yet known to be written. A report showed them
   * absent; a start sent after that would run what the record is about to call gone.
   */
  readonly terminating = new Set<string>();
  readonly jobBackoffs = new Map<JobId, JobBackoff>();
  readonly machineStates = new Map<MachineId, MachineSoftState>();
  /** Moves whose task is to start again there: they count as use of the destination (eq. 18). */
  readonly reservations = new Map<
    TaskId,
    { readonly to: MachineId; readonly until: MonotonicMs }
  >();
  /** Machines of which something changed since their attempts were last looked at. */
  readonly dirtyMachines = new Set<MachineId>();
  readonly #runRatio = new Map<string, number>();
  /** Machines that left the records ahead of the watch, and up to where it must have told by then. */
  readonly #vanished = new Map<MachineId, Revision>();
  #syncedFleet = -1;
  #syncedHeld = "";
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

  constructor(
    readonly ctx: ControllerContext,
    readonly membership: Membership,
    readonly wake: () => void,
  ) {}

  fencingTokenOf(m: MachineRecord): FencingToken {
    const s = this.ctx.replica.shardOwners.get(m.shard);
    return fencingToken(Math.max(s?.rev ?? 0, m.tokenFloor));
  }

  stepSession(id: MachineId, e: WorkerSessionEvent): WorkerSession | undefined {
    const s = this.sessions.get(id);
    if (s === undefined) return undefined;
    const next = stepWorkerSession(s, e);
    if (next !== s) this.sessions.set(id, next);
    return next;
  }

  /** Brings sessions in line with the records: machines come, go, and get higher tokens. */
  syncSessions(now: MonotonicMs): void {
    const { replica } = this.ctx;
    const shards = this.membership.ownedShards();
    const shown = shards.join();
    const same = replica.fleetVersion === this.#syncedFleet && shown === this.#syncedHeld;
    if (same && this.#vanished.size === 0) return;
    this.#syncedFleet = replica.fleetVersion;
    this.#syncedHeld = shown;
    const owned = new Set(shards);
    for (const id of this.sessions.keys()) {
      const m = replica.machines.get(id);
      if (m !== undefined && owned.has(m.shard)) {
        this.#vanished.delete(id);
        continue;
      }
      if (m === undefined) {
        // It may stand in a page that is not known yet: what was sent there must not be forgotten.
        const by = this.#vanished.get(id) ?? replica.latestSeenRevision;
        this.#vanished.set(id, by);
        if (replica.syncedRevision < by) continue;
      }
      this.#vanished.delete(id);
      this.sessions.delete(id);
      // Who holds it now will hear it: what was held against it here must not meet it again when
      // it comes back. (Some 140 machines were returned the moment their shard was handed back.)
      this.machineStates.delete(id);
    }
    for (const [id, m] of replica.machines) {
      if (!owned.has(m.shard)) continue;
      const t = this.fencingTokenOf(m);
      if (this.sessions.has(id)) this.stepSession(id, { kind: "token_assigned", token: t, now });
      else this.sessions.set(id, newWorkerSession(t, now));
    }
    for (const id of this.machineStates.keys())
      if (!replica.machines.has(id)) this.machineStates.delete(id);
    for (const id of this.jobBackoffs.keys())
      if (!replica.accepted.has(id)) this.jobBackoffs.delete(id);
    // Attempts that another owner closed after a shard was handed over.
    for (const [key, note] of this.attemptStates)
      if (!replica.machines.has(note.machine)) this.attemptStates.delete(key);
  }

  machineState(id: MachineId): MachineSoftState {
    let n = this.machineStates.get(id);
    if (n === undefined) {
      n = newMachineSoftState();
      this.machineStates.set(id, n);
    }
    return n;
  }

  /**
   * Answers calls, but has not reported by itself for a good part of its lease: nothing that it is
   * told renews that, so it takes nothing more, and what it killed is started elsewhere. (Started
   * there again, tasks longer than a lease never came to their end.)
   */
  heartbeatOverdue(id: MachineId, now: MonotonicMs): boolean {
    const at = this.machineStates.get(id)?.lastHeartbeatAt ?? null;
    const quietMs = at === null ? 0 : this.ctx.loopLag.readUpTo(now) - at;
    return quietMs > this.ctx.settings.workers.leaseS * 1000 * UNHEARD_PART;
  }

  attemptState(key: string, machine: MachineId): AttemptSoftState {
    let n = this.attemptStates.get(key);
    if (n === undefined) {
      n = { requestStop: null, runningSince: null, machine };
      this.attemptStates.set(key, n);
    }
    return n;
  }

  jobBackoff(id: JobId): JobBackoff {
    let n = this.jobBackoffs.get(id);
    if (n === undefined) {
      n = newJobBackoff();
      this.jobBackoffs.set(id, n);
    }
    return n;
  }

  /** Jobs that failed on several machines in a row, with no task completing between. */
  *failingJobs(): Iterable<JobId> {
    for (const [id, n] of this.jobBackoffs)
      if (
        n.failures > 0 &&
        n.failedOn.size >= JOB_FAULT_MACHINES &&
        this.ctx.replica.accepted.has(id)
      )
        yield id;
  }

  stop(key: string, machine: MachineId, reason: StopReason, graceS: number): void {
    const note = this.attemptState(key, machine);
    if (note.requestStop !== null) return;
    note.requestStop = { reason, graceS };
    this.dirtyMachines.add(machine);
  }

  /** Seconds of work that stopping an attempt now would throw away. */
  lossS(job: LiveJob, note: AttemptSoftState | undefined, now: MonotonicMs): number {
    if (note === undefined || note.runningSince === null) return 0;
    const ranS = (now - note.runningSince) / 1000;
    const { checkpointIntervalS, checkpointSaveS } = job.spec;
    return checkpointIntervalS > 0 ? Math.min(ranS % checkpointIntervalS, checkpointSaveS) : ranS;
  }

  recordRunTime(spec: JobSpec, note: AttemptSoftState | undefined, now: MonotonicMs): void {
    if (note === undefined || note.runningSince === null || spec.expectedRunS <= 0) return;
    const ratio = Math.min(10, Math.max(0.1, (now - note.runningSince) / 1000 / spec.expectedRunS));
    const old = this.#runRatio.get(spec.jobClass);
    this.#runRatio.set(spec.jobClass, old === undefined ? ratio : old + (ratio - old) * 0.05);
  }

  /** A task's run time: its owner's estimate, put right by what its class was seen to take. */
  expectedRunS(spec: JobSpec): number {
    return spec.expectedRunS * (this.#runRatio.get(spec.jobClass) ?? 1);
  }

  reserve(task: TaskId, to: MachineId, ms: number): void {
    this.reservations.set(task, { to, until: monotonicMs(monotonicNow() + ms) });
  }

  stats(): Readonly<Record<string, unknown>> {
    const states: Record<string, number> = {};
    for (const s of this.sessions.values()) states[s.state] = (states[s.state] ?? 0) + 1;
    const shards: readonly ShardId[] = this.membership.ownedShards();
    return { ...this.counters, sessions: states, shards };
  }
}
