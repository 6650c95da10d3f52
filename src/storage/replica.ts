import {
  type ControllerLabel,
  controllerLabel,
  type JobId,
  jobId,
  KEY_ABSENT,
  type MachineId,
  type Revision,
  revision,
  type ShardId,
  shardId,
  type TeamName,
} from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";
import type { KeyValue, StoreChange } from "../protocol/store.js";
import { parseMachineTypesRecord, parseTeams } from "./cluster-records.js";
import { FleetIndex, type MachinePage } from "./fleet-index.js";
import { parseMachinePage } from "./pages.js";
import {
  type AcceptedJob,
  type ControllerId,
  classifyKey,
  type GoneRecord,
  type LiveJob,
  type MachineRecord,
  parseAcceptedJob,
  parseControllerId,
  parseGoneRecord,
  parseRentalIntent,
  type RentalIntent,
  shardOfPage,
} from "./records.js";
import { ShardJobs } from "./shard-jobs.js";
import { SpanIndex } from "./span-index.js";
import type { Versioned } from "./versioned.js";

/** What this controller knows of the state service's `now/` keys, kept up by the watch. */
export class Replica {
  /** Accepted jobs that are not over. */
  readonly accepted = new Map<JobId, Versioned<AcceptedJob>>();
  readonly #fleet = new FleetIndex((key) => this.revisionOf(key));
  readonly shardOwners = new Map<ShardId, Versioned<ControllerId>>();
  readonly members = new Map<ControllerLabel, Versioned<ControllerId>>();
  readonly rentals = new Map<string, Versioned<RentalIntent>>();
  readonly goneRecords = new Map<string, Versioned<GoneRecord>>();
  leader: Versioned<ControllerId> | undefined;
  machineTypes: Versioned<readonly MachineType[]> | undefined;
  teams: Versioned<ReadonlyMap<TeamName, ShardId>> | undefined;
  readonly spans: SpanIndex;
  /** All changes up to here are in. */
  syncedRevision = revision(0);
  /** The highest revision heard of: some change up to here is known, not all need be. */
  latestSeenRevision = revision(0);
  /** Jobs whose records were rewritten and machines proved gone since these were last emptied. */
  readonly rewrittenJobs = new Set<JobId>();
  readonly recentlyGone = new Set<MachineId>();
  /** Puts and deletes under `now/` that came with the watch, our own among them. */
  changesSeen = 0;
  readonly #work = new Map<ShardId, ShardJobs>();
  readonly #revs = new Map<string, Revision>();
  /** Keys deleted beyond what the watch has told: its older news must not bring them back. */
  readonly #dropped = new Map<string, Revision>();

  /** `size` is how many shards there are. */
  constructor(size = Number.POSITIVE_INFINITY) {
    this.spans = new SpanIndex(size);
  }

  /** Machines by id. */
  get machines(): ReadonlyMap<MachineId, MachineRecord> {
    return this.#fleet.machines;
  }

  get machinePages(): ReadonlyMap<string, MachinePage> {
    return this.#fleet.pages;
  }

  /** Rises with every change of machines, and of who owns their shards. */
  get fleetVersion(): number {
    return this.#fleet.version;
  }

  /** The jobs of a shard and their open attempts. */
  shardJobs(shard: ShardId): ShardJobs {
    let w = this.#work.get(shard);
    if (w === undefined) {
      w = new ShardJobs((id) => this.accepted.get(id)?.value);
      this.#work.set(shard, w);
    }
    return w;
  }

  shardOf(id: JobId): ShardId | undefined {
    const a = this.accepted.get(id);
    if (a === undefined) return undefined;
    return a.value.shard ?? this.teams?.value.get(a.value.spec.team);
  }

  job(id: JobId): LiveJob | undefined {
    const shard = this.shardOf(id);
    return shard === undefined ? undefined : this.shardJobs(shard).jobs.get(id);
  }

  /** The live jobs of all shards. */
  *allJobs(): Iterable<readonly [JobId, LiveJob]> {
    for (const w of this.#work.values()) yield* w.jobs;
  }

  /** The work of each shard of which something is known. */
  allShardJobs(): Iterable<readonly [ShardId, ShardJobs]> {
    return this.#work;
  }

  openAttemptsOn(id: MachineId): ReturnType<ShardJobs["openAttemptsOn"]> {
    return this.shardJobs(this.machines.get(id)?.shard ?? shardId(0)).openAttemptsOn(id);
  }

  machinePageOf(id: MachineId): string | undefined {
    return this.#fleet.pageOf(id);
  }

  /** The cloud has said that it is gone. */
  isGone(id: MachineId): boolean {
    return this.#fleet.gone.has(id);
  }

  revisionOf(key: string): Revision {
    return this.#revs.get(key) ?? KEY_ABSENT;
  }

  /** Whether a change is in already: written here, or heard of by another way. */
  isKnown(c: StoreChange): boolean {
    return c.rev <= (this.#revs.get(c.key) ?? this.#dropped.get(c.key) ?? KEY_ABSENT);
  }

  /** Takes one change in; older news than what is known is passed over. */
  apply(c: StoreChange): void {
    if (c.rev > this.latestSeenRevision) this.latestSeenRevision = c.rev;
    if (this.isKnown(c)) return;
    if (c.kind === "put") {
      this.#revs.set(c.key, c.rev);
      this.#dropped.delete(c.key);
      this.#put(c.key, c.value, c.rev);
    } else {
      this.#revs.delete(c.key);
      if (c.rev > this.syncedRevision) this.#dropped.set(c.key, c.rev);
      this.#drop(c.key);
    }
  }

  /** The watch has told everything up to `rev`. */
  advance(rev: Revision): void {
    if (rev <= this.syncedRevision) return;
    this.syncedRevision = rev;
    if (rev > this.latestSeenRevision) this.latestSeenRevision = rev;
    for (const [key, at] of this.#dropped) if (at <= rev) this.#dropped.delete(key);
  }

  /** A full scan: keys that it lacks are gone, unless they are younger than the scan. */
  reset(items: readonly KeyValue[], rev: Revision): void {
    const present = new Set(items.map((i) => i.key));
    for (const [key, at] of [...this.#revs])
      if (!present.has(key) && at <= rev) this.apply({ kind: "delete", key, rev });
    for (const i of items) this.apply({ kind: "put", ...i });
    this.advance(rev);
  }

  #put(key: string, value: unknown, rev: Revision): void {
    const { kind, name } = classifyKey(key);
    switch (kind) {
      case "live": {
        const id = jobId(name);
        this.#jobChanged(id);
        const was = this.accepted.get(id);
        keep(this.accepted, id, parseAcceptedJob(id, value), rev);
        this.spans.jobChanged(was?.value, this.accepted.get(id)?.value);
        if (was !== undefined) this.rewrittenJobs.add(id);
        this.#jobChanged(id);
        return;
      }
      case "work":
        this.shardJobs(shardOfPage(name)).pageChanged(key, value, rev);
        return;
      case "fleet": {
        const shard = shardOfPage(name);
        // An unreadable page leaves what was last known of its machines.
        const machines = parseMachinePage(shard, value) ?? this.machinePages.get(key)?.machines;
        this.#fleet.put(key, { shard, rev, machines: machines ?? new Map() });
        return;
      }
      case "gone":
        keep(this.goneRecords, name, parseGoneRecord(value), rev);
        for (const id of this.goneRecords.get(name)?.value.ids ?? []) this.recentlyGone.add(id);
        this.#fleet.setGone([...this.goneRecords.values()].flatMap((g) => g.value.ids));
        return;
      case "shard":
        keep(this.shardOwners, shardId(Number(name)), parseControllerId(value), rev);
        this.#fleet.version++;
        return;
      case "member":
        keep(this.members, controllerLabel(name), parseControllerId(value), rev);
        return;
      case "rental":
        keep(this.rentals, name, parseRentalIntent(value), rev);
        return;
      case "leader": {
        const h = parseControllerId(value);
        this.leader = h === undefined ? undefined : { value: h, rev };
        return;
      }
      case "types":
        this.machineTypes = { value: parseMachineTypesRecord(value), rev };
        return;
      case "teams":
        this.teams = { value: parseTeams(value), rev };
        this.spans.homesChanged();
        for (const id of this.accepted.keys()) this.#jobChanged(id);
        return;
      case "span":
        this.spans.put(name, value, rev);
        return;
      case "other":
        return;
    }
  }

  #drop(key: string): void {
    const { kind, name } = classifyKey(key);
    switch (kind) {
      case "live":
        this.#jobChanged(jobId(name));
        this.spans.jobChanged(this.accepted.get(jobId(name))?.value, undefined);
        this.accepted.delete(jobId(name));
        return;
      case "work":
        this.shardJobs(shardOfPage(name)).pageChanged(key, { m: [], j: [] }, KEY_ABSENT);
        return;
      case "fleet":
        this.#fleet.drop(key);
        return;
      case "gone":
        this.goneRecords.delete(name);
        this.#fleet.setGone([...this.goneRecords.values()].flatMap((g) => g.value.ids));
        return;
      case "shard":
        this.shardOwners.delete(shardId(Number(name)));
        this.#fleet.version++;
        return;
      case "member":
        this.members.delete(controllerLabel(name));
        return;
      case "rental":
        this.rentals.delete(name);
        return;
      case "leader":
        this.leader = undefined;
        return;
      case "types":
        this.machineTypes = undefined;
        return;
      case "teams":
        this.teams = undefined;
        this.spans.homesChanged();
        return;
      case "span":
        this.spans.drop(name);
        return;
      case "other":
        return;
    }
  }

  #jobChanged(id: JobId): void {
    const shard = this.shardOf(id);
    if (shard !== undefined) this.shardJobs(shard).jobChanged(id);
  }
}

const keep = <K, V>(
  map: Map<K, Versioned<V>>,
  key: K,
  value: V | undefined,
  rev: Revision,
): void => {
  if (value === undefined) map.delete(key);
  else map.set(key, { value, rev });
};
