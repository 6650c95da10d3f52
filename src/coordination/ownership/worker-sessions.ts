/**
 * The worker sessions of all machines that this controller owns, kept in line with the records.
 *
 * A session must not end while its machine may still be owned: the start commands sent in it would
 * be forgotten, and an attempt whose start is still in flight would be concluded to be absent. A
 * machine that is missing from the replica may be in a page that hasn't been read yet. So it counts
 * as gone only once the replica is synced up to the latest revision that was known when it was
 * found missing.
 */
import type { FencingToken, MachineId, MonotonicMs, Revision, ShardId } from "@umberfold/ids";
import type { MachineRecord } from "../../storage/records.js";
import type { Replica } from "../../storage/replica.js";
import {
  newWorkerSession,
  stepWorkerSession,
  type WorkerSession,
  type WorkerSessionEvent,
} from "./worker-session.js";

/** The inputs from which sessions are derived. */
export interface SessionSources {
  readonly replica: Replica;
  /** The shards that this controller currently owns. */
  readonly ownedShards: readonly ShardId[];
  /** The fencing token under which a machine is commanded. */
  readonly fencingTokenOf: (machine: MachineRecord) => FencingToken;
}

/** The sessions of one controller. */
export class WorkerSessions {
  readonly #sessions = new Map<MachineId, WorkerSession>();
  /**
   * Machines missing from the replica, with the latest revision known when they were found missing.
   */
  readonly #missingSince = new Map<MachineId, Revision>();
  #syncedFleetVersion = -1;
  #syncedShards = "";

  /** All sessions, by machine. */
  get all(): ReadonlyMap<MachineId, WorkerSession> {
    return this.#sessions;
  }

  /** Applies an event. Returns the session after it, or undefined if the machine has none. */
  step(id: MachineId, event: WorkerSessionEvent): WorkerSession | undefined {
    const session = this.#sessions.get(id);
    if (session === undefined) return undefined;
    const next = stepWorkerSession(session, event);
    if (next !== session) this.#sessions.set(id, next);
    return next;
  }

  /** Sets the fencing token for commands to the machine, and begins a session if there is none. */
  assignToken(id: MachineId, token: FencingToken, now: MonotonicMs): void {
    if (this.#sessions.has(id)) this.step(id, { kind: "token_assigned", token, now });
    else this.#sessions.set(id, newWorkerSession(token, now));
  }

  /**
   * Ends the sessions of machines that are gone or no longer owned, begins sessions for new ones,
   * and assigns the current tokens.
   *
   * @returns the machines whose sessions ended, or undefined if nothing can have changed since the
   *   last call
   */
  sync(sources: SessionSources, now: MonotonicMs): readonly MachineId[] | undefined {
    const { replica, ownedShards } = sources;
    const shards = ownedShards.join();
    const unchanged =
      replica.fleetVersion === this.#syncedFleetVersion && shards === this.#syncedShards;
    if (unchanged && this.#missingSince.size === 0) return undefined;
    this.#syncedFleetVersion = replica.fleetVersion;
    this.#syncedShards = shards;
    const owned = new Set(ownedShards);
    const ended = this.#endSessions(replica, owned);
    for (const [id, machine] of replica.machines)
      if (owned.has(machine.shard)) this.assignToken(id, sources.fencingTokenOf(machine), now);
    return ended;
  }

  #endSessions(replica: Replica, owned: ReadonlySet<ShardId>): readonly MachineId[] {
    const ended: MachineId[] = [];
    for (const id of this.#sessions.keys()) {
      const machine = replica.machines.get(id);
      if (machine === undefined && this.#mayReappear(id, replica)) continue;
      this.#missingSince.delete(id);
      if (machine !== undefined && owned.has(machine.shard)) continue;
      this.#sessions.delete(id);
      ended.push(id);
    }
    return ended;
  }

  /**
   * Whether the replica isn't synced yet up to the revision at which the machine was found missing.
   */
  #mayReappear(id: MachineId, replica: Replica): boolean {
    const missingSince = this.#missingSince.get(id) ?? replica.latestSeenRevision;
    this.#missingSince.set(id, missingSince);
    return replica.syncedRevision < missingSince;
  }
}
