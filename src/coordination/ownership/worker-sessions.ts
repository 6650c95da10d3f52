/**
 * The worker sessions of all machines that this controller owns, kept in line with the records.
 *
 * The start commands sent in a session must not be forgotten while copies of them may be executed:
 * an attempt whose start is still in flight would be concluded to be absent. A machine that is
 * missing from the replica may be in a page that hasn't been read yet. So it counts as gone only
 * once the replica is synced up to the latest revision that was known when it was found missing. A
 * machine that leaves the owned shards and returns under the same fencing token, because an outdated
 * page of it was read in between, gets a session that remembers the starts of the earlier one.
 */
import type { FencingToken, MachineId, MonotonicMs, Revision, ShardId } from "@umberfold/ids";
import type { MachineRecord } from "../../storage/records.js";
import type { Replica } from "../../storage/replica.js";
import {
  newWorkerSession,
  resumedWorkerSession,
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
  /**
   * Sessions that ended although no higher token has been assigned since, for the starts that were
   * sent in them.
   */
  readonly #interrupted = new Map<MachineId, WorkerSession>();
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
    else this.#begin(id, token, now);
  }

  #begin(id: MachineId, token: FencingToken, now: MonotonicMs): void {
    const session = newWorkerSession(token, now);
    const earlier = this.#interrupted.get(id);
    this.#interrupted.delete(id);
    const isExcluded = earlier === undefined || earlier.token < token;
    this.#sessions.set(id, isExcluded ? session : resumedWorkerSession(session, earlier));
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
    const ended = this.#endSessions(sources, owned);
    for (const [id, machine] of replica.machines)
      if (owned.has(machine.shard)) this.assignToken(id, sources.fencingTokenOf(machine), now);
    return ended;
  }

  #endSessions(
    { replica, fencingTokenOf }: SessionSources,
    owned: ReadonlySet<ShardId>,
  ): readonly MachineId[] {
    const ended: MachineId[] = [];
    for (const [id, session] of this.#sessions) {
      const machine = replica.machines.get(id);
      if (machine === undefined && this.#mayReappear(id, replica)) continue;
      this.#missingSince.delete(id);
      if (machine !== undefined && owned.has(machine.shard)) continue;
      this.#sessions.delete(id);
      ended.push(id);
      const keepsToken = machine !== undefined && fencingTokenOf(machine) <= session.token;
      if (keepsToken && session.startDeliveries.size > 0) this.#interrupted.set(id, session);
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
