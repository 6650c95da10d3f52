import {
  type JobId,
  type MachineId,
  type Mono,
  mono,
  type Revision,
  type ShardId,
  type TaskId,
  type Token,
  token,
} from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import type { LiveJob, MachineRecord } from "../../storage/records.js";
import { steadyNow } from "../../transport/clock.js";
import type { Context } from "../context.js";
import type { Membership } from "../membership/membership.js";
import {
  type AttemptNote,
  type JobNote,
  type MachineNote,
  newJobNote,
  newMachineNote,
  type StopReason,
} from "./soft-state.js";
import { newSession, type Session, type SessionEvent, stepSession } from "./worker-session.js";

/** A job that failed on so many machines is at fault itself, for all that is known. */
export const MANY_MACHINES = 3;
/** Without a report of its own for this part of its lease a machine takes nothing more. */
const UNHEARD_PART = 0.5;

/** What a owner knows of the shards it holds: sessions, notes and counters, and nothing it does. */
export class ShardState {
  readonly sessions = new Map<MachineId, Session>();
  readonly attempts = new Map<string, AttemptNote>();
  /**
   * Attempts whose closing is decided but not yet known to be written. A report showed them
   * absent; a start sent after that would run what the record is about to call gone.
   */
  readonly closing = new Set<string>();
  readonly jobs = new Map<JobId, JobNote>();
  readonly machines = new Map<MachineId, MachineNote>();
  /** Moves whose task is to start again there: they count as use of the destination (eq. 18). */
  readonly incoming = new Map<TaskId, { readonly to: MachineId; readonly until: Mono }>();
  /** Machines of which something changed since their attempts were last looked at. */
  readonly disturbed = new Set<MachineId>();
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
    readonly ctx: Context,
    readonly membership: Membership,
    readonly wake: () => void,
  ) {}

  tokenOf(m: MachineRecord): Token {
    const s = this.ctx.replica.shards.get(m.shard);
    return token(Math.max(s?.rev ?? 0, m.floor));
  }

  step(id: MachineId, e: SessionEvent): Session | undefined {
    const s = this.sessions.get(id);
    if (s === undefined) return undefined;
    const next = stepSession(s, e);
    if (next !== s) this.sessions.set(id, next);
    return next;
  }

  /** Brings sessions in line with the records: machines come, go, and get higher tokens. */
  sync(now: Mono): void {
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
        const by = this.#vanished.get(id) ?? replica.latest;
        this.#vanished.set(id, by);
        if (replica.position < by) continue;
      }
      this.#vanished.delete(id);
      this.sessions.delete(id);
      // Who holds it now will hear it: what was held against it here must not meet it again when
      // it comes back. (Some 140 machines were returned the moment their shard was handed back.)
      this.machines.delete(id);
    }
    for (const [id, m] of replica.machines) {
      if (!owned.has(m.shard)) continue;
      const t = this.tokenOf(m);
      if (this.sessions.has(id)) this.step(id, { kind: "held", token: t, now });
      else this.sessions.set(id, newSession(t, now));
    }
    for (const id of this.machines.keys()) if (!replica.machines.has(id)) this.machines.delete(id);
    for (const id of this.jobs.keys()) if (!replica.accepted.has(id)) this.jobs.delete(id);
    // Attempts that another owner closed after a shard was handed over.
    for (const [key, note] of this.attempts)
      if (!replica.machines.has(note.machine)) this.attempts.delete(key);
  }

  note(id: MachineId): MachineNote {
    let n = this.machines.get(id);
    if (n === undefined) {
      n = newMachineNote();
      this.machines.set(id, n);
    }
    return n;
  }

  /**
   * Answers calls, but has not reported by itself for a good part of its lease: nothing that it is
   * told renews that, so it takes nothing more, and what it killed is started elsewhere. (Started
   * there again, tasks longer than a lease never came to their end.)
   */
  heartbeatOverdue(id: MachineId, now: Mono): boolean {
    const at = this.machines.get(id)?.reportedAt ?? null;
    const quietMs = at === null ? 0 : this.ctx.lag.readUpTo(now) - at;
    return quietMs > this.ctx.settings.workers.leaseS * 1000 * UNHEARD_PART;
  }

  attemptNote(key: string, machine: MachineId): AttemptNote {
    let n = this.attempts.get(key);
    if (n === undefined) {
      n = { stop: null, runningSince: null, machine };
      this.attempts.set(key, n);
    }
    return n;
  }

  jobNote(id: JobId): JobNote {
    let n = this.jobs.get(id);
    if (n === undefined) {
      n = newJobNote();
      this.jobs.set(id, n);
    }
    return n;
  }

  /** Jobs that failed on several machines in a row, with no task completing between. */
  *failing(): Iterable<JobId> {
    for (const [id, n] of this.jobs)
      if (n.failures > 0 && n.failedOn.size >= MANY_MACHINES && this.ctx.replica.accepted.has(id))
        yield id;
  }

  stop(key: string, machine: MachineId, reason: StopReason, graceS: number): void {
    const note = this.attemptNote(key, machine);
    if (note.stop !== null) return;
    note.stop = { reason, graceS };
    this.disturbed.add(machine);
  }

  /** Seconds of work that stopping an attempt now would throw away. */
  lossS(job: LiveJob, note: AttemptNote | undefined, now: Mono): number {
    if (note === undefined || note.runningSince === null) return 0;
    const ranS = (now - note.runningSince) / 1000;
    const { checkpointS, saveS } = job.spec;
    return checkpointS > 0 ? Math.min(ranS % checkpointS, saveS) : ranS;
  }

  learnRun(spec: JobSpec, note: AttemptNote | undefined, now: Mono): void {
    if (note === undefined || note.runningSince === null || spec.expectS <= 0) return;
    const ratio = Math.min(10, Math.max(0.1, (now - note.runningSince) / 1000 / spec.expectS));
    const old = this.#runRatio.get(spec.jobClass);
    this.#runRatio.set(spec.jobClass, old === undefined ? ratio : old + (ratio - old) * 0.05);
  }

  /** A task's run time: its owner's estimate, put right by what its class was seen to take. */
  runS(spec: JobSpec): number {
    return spec.expectS * (this.#runRatio.get(spec.jobClass) ?? 1);
  }

  keep(task: TaskId, to: MachineId, ms: number): void {
    this.incoming.set(task, { to, until: mono(steadyNow() + ms) });
  }

  stats(): Readonly<Record<string, unknown>> {
    const states: Record<string, number> = {};
    for (const s of this.sessions.values()) states[s.state] = (states[s.state] ?? 0) + 1;
    const shards: readonly ShardId[] = this.membership.ownedShards();
    return { ...this.counters, sessions: states, shards };
  }
}
