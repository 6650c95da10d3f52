/**
 * The worker sessions of all machines that are owned here, kept in line with the records.
 *
 * A session must not end while its machine may still be owned: what was sent in it would be
 * forgotten, and a start that is still in flight be taken for absent. So a machine that is missing
 * from the replica counts as gone only once the replica has been synced up to what was known then:
 * it may stand in a page that was not read yet.
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

/** What sessions are derived from. */
export interface SessionSources {
  readonly replica: Replica;
  /** The shards that this controller owns now. */
  readonly ownedShards: readonly ShardId[];
  /** The fencing token under which a machine is commanded. */
  readonly fencingTokenOf: (machine: MachineRecord) => FencingToken;
}

/** The sessions of one controller. */
export class WorkerSessions {
  readonly #sessions = new Map<MachineId, WorkerSession>();
  /** Machines missing from the replica, and the revision by which the watch must have shown them. */
  readonly #missingSince = new Map<MachineId, Revision>();
  #syncedFleetVersion = -1;
  #syncedShards = "";

  /** All sessions by machine. */
  get all(): ReadonlyMap<MachineId, WorkerSession> {
    return this.#sessions;
  }

  /** Takes an event in. The session after it, or undefined if there is none. */
  step(id: MachineId, event: WorkerSessionEvent): WorkerSession | undefined {
    const session = this.#sessions.get(id);
    if (session === undefined) return undefined;
    const next = stepWorkerSession(session, event);
    if (next !== session) this.#sessions.set(id, next);
    return next;
  }

  /** The machine is commanded under this token from now on; a session begins if there is none. */
  assignToken(id: MachineId, token: FencingToken, now: MonotonicMs): void {
    if (this.#sessions.has(id)) this.step(id, { kind: "token_assigned", token, now });
    else this.#sessions.set(id, newWorkerSession(token, now));
  }

  /**
   * Ends the sessions of machines that left, begins those of machines that came, and raises
   * tokens. Undefined if nothing can have changed since the last time, else the machines that left.
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

  /** The replica isn't synced up to where the machine was first found missing. */
  #mayReappear(id: MachineId, replica: Replica): boolean {
    const missingSince = this.#missingSince.get(id) ?? replica.latestSeenRevision;
    this.#missingSince.set(id, missingSince);
    return replica.syncedRevision < missingSince;
  }
}
