/**
 * This controller's copy of the state store's `now/` keys, kept up to date by the watch and by its
 * own committed writes.
 *
 * Changes of a key may come in any order and more than once: the newer revision of a key wins, and
 * older news of it is ignored. Whatever is read here may be older than what the store holds; only a
 * condition on its revision, or a comparison, proves it current. What a record of each kind changes
 * is in one table, `#handlers`.
 */
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
import { type ControllerId, parseControllerId } from "./controller-records.js";
import { FleetIndex, type MachinePage } from "./fleet-index.js";
import { type AcceptedJob, type LiveJob, parseAcceptedJob } from "./job-records.js";
import { classifyKey, type KeyKind, shardOfPage } from "./keys.js";
import { type GoneRecord, type MachineRecord, parseGoneRecord } from "./machine-records.js";
import { EMPTY_JOB_PAGE, parseMachinePage } from "./pages.js";
import { mapHandler, putParsed, type RecordHandler } from "./record-handler.js";
import { parseRentalIntent, type RentalIntent } from "./rental-records.js";
import { ShardJobs } from "./shard-jobs.js";
import { SpanIndex } from "./span-index.js";
import type { Versioned } from "./versioned.js";

/** The copy of the watched keys, by kind of record. */
export class Replica {
  /** Accepted jobs that are not over. */
  readonly accepted = new Map<JobId, Versioned<AcceptedJob>>();
  /** The owner of each shard; none for a shard that nobody has claimed. */
  readonly shardOwners = new Map<ShardId, Versioned<ControllerId>>();
  /** The controllers whose leases are alive. */
  readonly members = new Map<ControllerLabel, Versioned<ControllerId>>();
  /** Rental intents, by name. */
  readonly rentals = new Map<string, Versioned<RentalIntent>>();
  /** Records of gone machines, by name. */
  readonly goneRecords = new Map<string, Versioned<GoneRecord>>();
  /** The controller that leads; undefined while none does. */
  leader: Versioned<ControllerId> | undefined;
  /** The machine types that the cloud offers; undefined until the first leader has written them. */
  machineTypes: Versioned<readonly MachineType[]> | undefined;
  /** The home shard of each team; undefined until the first leader has written it. */
  teams: Versioned<ReadonlyMap<TeamName, ShardId>> | undefined;
  /** Teams that span several shards. */
  readonly spans: SpanIndex;
  /** All changes up to here are in. */
  syncedRevision = revision(0);
  /** The highest revision seen: some change up to here is in, not all need be. */
  latestSeenRevision = revision(0);
  /** Jobs whose records were rewritten since a reader last emptied this set. */
  readonly rewrittenJobs = new Set<JobId>();
  /** Machines proved gone since a reader last emptied this set. */
  readonly recentlyGone = new Set<MachineId>();
  readonly #fleet = new FleetIndex((key) => this.revisionOf(key));
  readonly #jobsByShard = new Map<ShardId, ShardJobs>();
  readonly #revisions = new Map<string, Revision>();
  /** Keys deleted ahead of the watch: its older news must not bring them back. */
  readonly #deletedAhead = new Map<string, Revision>();
  readonly #handlers: Readonly<Record<KeyKind, RecordHandler>> = {
    live: {
      put: (name, value, rev) => this.#putAcceptedJob(jobId(name), value, rev),
      drop: (name) => this.#dropAcceptedJob(jobId(name)),
    },
    work: {
      put: (name, value, rev, key) =>
        this.shardJobs(shardOfPage(name)).pageChanged(key, value, rev),
      drop: (name, key) =>
        this.shardJobs(shardOfPage(name)).pageChanged(key, EMPTY_JOB_PAGE, KEY_ABSENT),
    },
    fleet: {
      put: (name, value, rev, key) => this.#putMachinePage(shardOfPage(name), key, value, rev),
      drop: (_name, key) => this.#fleet.deletePage(key),
    },
    gone: {
      put: (name, value, rev) => this.#putGoneRecord(name, value, rev),
      drop: (name) => {
        this.goneRecords.delete(name);
        this.#refreshGone();
      },
    },
    shard: {
      put: (name, value, rev) => {
        putParsed(this.shardOwners, shardId(Number(name)), parseControllerId(value), rev);
        this.#fleet.version++;
      },
      drop: (name) => {
        this.shardOwners.delete(shardId(Number(name)));
        this.#fleet.version++;
      },
    },
    member: mapHandler(this.members, controllerLabel, parseControllerId),
    rental: mapHandler(this.rentals, (name) => name, parseRentalIntent),
    leader: {
      put: (_name, value, rev) => {
        const leader = parseControllerId(value);
        this.leader = leader === undefined ? undefined : { value: leader, rev };
      },
      drop: () => {
        this.leader = undefined;
      },
    },
    types: {
      put: (_name, value, rev) => {
        this.machineTypes = { value: parseMachineTypesRecord(value), rev };
      },
      drop: () => {
        this.machineTypes = undefined;
      },
    },
    teams: {
      put: (_name, value, rev) => this.#putTeams(value, rev),
      drop: () => {
        this.teams = undefined;
        this.spans.homeShardsChanged();
      },
    },
    span: {
      put: (name, value, rev) => this.spans.put(name, value, rev),
      drop: (name) => this.spans.drop(name),
    },
    // Written by another version: nothing is known of it but its revision.
    other: { put: () => undefined, drop: () => undefined },
  };

  /** `shardCount` is how many shards there are. */
  constructor(shardCount = Number.POSITIVE_INFINITY) {
    this.spans = new SpanIndex(shardCount);
  }

  /** Machines by id. */
  get machines(): ReadonlyMap<MachineId, MachineRecord> {
    return this.#fleet.machines;
  }

  /** Machine pages by key. */
  get machinePages(): ReadonlyMap<string, MachinePage> {
    return this.#fleet.pages;
  }

  /** Rises with every change of machines, and of who owns their shards. */
  get fleetVersion(): number {
    return this.#fleet.version;
  }

  /** The jobs of a shard and their open attempts; created empty when first asked for. */
  shardJobs(shard: ShardId): ShardJobs {
    let jobs = this.#jobsByShard.get(shard);
    if (jobs === undefined) {
      jobs = new ShardJobs((id) => this.accepted.get(id)?.value);
      this.#jobsByShard.set(shard, jobs);
    }
    return jobs;
  }

  /** The shard that a job was placed in, else its team's home shard; undefined if unknown. */
  shardOf(id: JobId): ShardId | undefined {
    const accepted = this.accepted.get(id);
    if (accepted === undefined) return undefined;
    return accepted.value.shard ?? this.teams?.value.get(accepted.value.spec.team);
  }

  /** A live job with its progress; undefined if there is none, or its shard is unknown. */
  job(id: JobId): LiveJob | undefined {
    const shard = this.shardOf(id);
    return shard === undefined ? undefined : this.shardJobs(shard).jobs.get(id);
  }

  /** The live jobs of all shards. */
  *allJobs(): Iterable<readonly [JobId, LiveJob]> {
    for (const jobs of this.#jobsByShard.values()) yield* jobs.jobs;
  }

  /** The jobs of each shard of which something is known. */
  allShardJobs(): Iterable<readonly [ShardId, ShardJobs]> {
    return this.#jobsByShard;
  }

  /** The open attempts on a machine of its shard's jobs, by task. */
  openAttemptsOn(id: MachineId): ReturnType<ShardJobs["openAttemptsOn"]> {
    return this.shardJobs(this.machines.get(id)?.shard ?? shardId(0)).openAttemptsOn(id);
  }

  /** The key of the page that a machine's row is in. */
  machinePageOf(id: MachineId): string | undefined {
    return this.#fleet.pageKeyOf(id);
  }

  /** Whether the cloud has said that the machine is gone, and the record of it is still there. */
  isGone(id: MachineId): boolean {
    return this.#fleet.gone.has(id);
  }

  /** The revision of a key as it is here; `KEY_ABSENT` if it isn't. */
  revisionOf(key: string): Revision {
    return this.#revisions.get(key) ?? KEY_ABSENT;
  }

  /** Whether a change, or a newer one of its key, is in already: by an own commit, watch or read. */
  isKnown(change: StoreChange): boolean {
    const known = this.#revisions.get(change.key) ?? this.#deletedAhead.get(change.key);
    return change.rev <= (known ?? KEY_ABSENT);
  }

  /** Takes one change in; one that is older than what is known of its key is ignored. */
  apply(change: StoreChange): void {
    const { key, rev } = change;
    if (rev > this.latestSeenRevision) this.latestSeenRevision = rev;
    if (this.isKnown(change)) return;
    const { kind, name } = classifyKey(key);
    if (change.kind === "put") {
      this.#revisions.set(key, rev);
      this.#deletedAhead.delete(key);
      this.#handlers[kind].put(name, change.value, rev, key);
    } else {
      this.#revisions.delete(key);
      if (rev > this.syncedRevision) this.#deletedAhead.set(key, rev);
      this.#handlers[kind].drop(name, key);
    }
  }

  /** The watch has brought everything up to `rev`. */
  advance(rev: Revision): void {
    if (rev <= this.syncedRevision) return;
    this.syncedRevision = rev;
    if (rev > this.latestSeenRevision) this.latestSeenRevision = rev;
    for (const [key, deletedRev] of this.#deletedAhead)
      if (deletedRev <= rev) this.#deletedAhead.delete(key);
  }

  /** Takes a full scan in: keys that it lacks are gone, unless they are younger than the scan. */
  reset(items: readonly KeyValue[], rev: Revision): void {
    const present = new Set(items.map((item) => item.key));
    for (const [key, knownRev] of [...this.#revisions])
      if (!present.has(key) && knownRev <= rev) this.apply({ kind: "delete", key, rev });
    for (const item of items) this.apply({ kind: "put", ...item });
    this.advance(rev);
  }

  #putAcceptedJob(id: JobId, value: unknown, rev: Revision): void {
    // Both the shard that it leaves and the one that it enters, if its record names another.
    this.#jobChanged(id);
    const before = this.accepted.get(id);
    putParsed(this.accepted, id, parseAcceptedJob(id, value), rev);
    this.spans.jobChanged(before?.value, this.accepted.get(id)?.value);
    if (before !== undefined) this.rewrittenJobs.add(id);
    this.#jobChanged(id);
  }

  #dropAcceptedJob(id: JobId): void {
    this.#jobChanged(id);
    this.spans.jobChanged(this.accepted.get(id)?.value, undefined);
    this.accepted.delete(id);
  }

  #putMachinePage(shard: ShardId, key: string, value: unknown, rev: Revision): void {
    // An unreadable page leaves what was last known of its machines.
    const machines = parseMachinePage(shard, value) ?? this.machinePages.get(key)?.machines;
    this.#fleet.putPage(key, { shard, rev, machines: machines ?? new Map() });
  }

  #putGoneRecord(name: string, value: unknown, rev: Revision): void {
    putParsed(this.goneRecords, name, parseGoneRecord(value), rev);
    for (const id of this.goneRecords.get(name)?.value.ids ?? []) this.recentlyGone.add(id);
    this.#refreshGone();
  }

  #refreshGone(): void {
    this.#fleet.setGone([...this.goneRecords.values()].flatMap((record) => record.value.ids));
  }

  #putTeams(value: unknown, rev: Revision): void {
    this.teams = { value: parseTeams(value), rev };
    this.spans.homeShardsChanged();
    for (const id of this.accepted.keys()) this.#jobChanged(id);
  }

  #jobChanged(id: JobId): void {
    const shard = this.shardOf(id);
    if (shard !== undefined) this.shardJobs(shard).jobChanged(id);
  }
}
