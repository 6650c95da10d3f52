/**
 * This controller's local copy of the state store's `now/` keys, kept up to date by the watch and
 * by this controller's own committed writes.
 *
 * Changes of a key may arrive in any order and more than once: the highest revision wins, and older
 * changes are ignored. All data here may be stale. Only a condition on its revision, in a write or
 * a comparison, proves it current. The table `#handlers` defines what a record of each kind
 * changes.
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
import { BoundedMap } from "./bounded-map.js";
import { parseMachineTypesRecord, parseTeams } from "./cluster-records.js";
import { type ControllerId, parseControllerId } from "./controller-records.js";
import { FleetIndex, type MachinePage } from "./fleet-index.js";
import { type AcceptedJob, type LiveJob, parseAcceptedJob } from "./job-records.js";
import { KeyRevisions } from "./key-revisions.js";
import { classifyKey, type KeyKind, shardOfPage } from "./keys.js";
import { type GoneRecord, type MachineRecord, parseGoneRecord } from "./machine-records.js";
import { EMPTY_JOB_PAGE, parseMachinePage } from "./pages.js";
import { mapHandler, putParsed, type RecordHandler } from "./record-handler.js";
import { parseRentalIntent, type RentalIntent } from "./rental-records.js";
import { ShardJobs } from "./shard-jobs.js";
import { SpanIndex } from "./span-index.js";
import type { Versioned } from "./versioned.js";

/** More than end within a second, the longest time for which an answer is held against them. */
const MAX_RECENTLY_ENDED_JOBS = 4096;

/** The local copy of the watched keys, by kind of record. */
export class Replica {
  /** The records of live jobs (accepted, not finished). */
  readonly acceptedJobs = new Map<JobId, Versioned<AcceptedJob>>();
  /** The owner of each shard; no entry for an unclaimed shard. */
  readonly shardOwners = new Map<ShardId, Versioned<ControllerId>>();
  /** The controllers whose leases have not expired. */
  readonly members = new Map<ControllerLabel, Versioned<ControllerId>>();
  /** Rental intents, by name. */
  readonly rentalIntents = new Map<string, Versioned<RentalIntent>>();
  /** Records that name machines which the cloud has reported gone, by name. */
  readonly goneRecords = new Map<string, Versioned<GoneRecord>>();
  /** The leader; undefined while there is none. */
  leader: Versioned<ControllerId> | undefined;
  /** The machine types that the cloud offers; undefined until a leader has written them. */
  machineTypes: Versioned<readonly MachineType[]> | undefined;
  /** The home shard of each team; undefined until a leader has written them. */
  teams: Versioned<ReadonlyMap<TeamName, ShardId>> | undefined;
  /** Teams that span several shards. */
  readonly spans: SpanIndex;
  /** All changes up to this revision have been applied. */
  syncedRevision = revision(0);
  /** The highest revision seen; changes between `syncedRevision` and this one may be missing. */
  latestSeenRevision = revision(0);
  /** Jobs whose live record was deleted lately, because they are over. */
  readonly recentlyEndedJobs = new BoundedMap<JobId, true>(MAX_RECENTLY_ENDED_JOBS);
  /** Jobs whose records were rewritten since the round last cleared this set. */
  readonly rewrittenJobs = new Set<JobId>();
  /** Machines recorded as gone since the round last cleared this set. */
  readonly recentlyGoneMachines = new Set<MachineId>();
  readonly #fleet = new FleetIndex((key) => this.revisionOf(key));
  readonly #jobsByShard = new Map<ShardId, ShardJobs>();
  readonly #revisions = new KeyRevisions();
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
    rental: mapHandler(this.rentalIntents, (name) => name, parseRentalIntent),
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
    // A kind that this version does not know: only the revision of the key is kept.
    other: { put: () => undefined, drop: () => undefined },
  };

  /** `shardCount` is the number of shards. */
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

  /** A version that rises with each change of machines or of shard owners. */
  get fleetVersion(): number {
    return this.#fleet.version;
  }

  /** The jobs of a shard and their open attempts; created empty on first access. */
  shardJobs(shard: ShardId): ShardJobs {
    let jobs = this.#jobsByShard.get(shard);
    if (jobs === undefined) {
      jobs = new ShardJobs((id) => this.acceptedJobs.get(id)?.value);
      this.#jobsByShard.set(shard, jobs);
    }
    return jobs;
  }

  /** The shard that a job was assigned to, else its team's home shard; undefined if unknown. */
  shardOf(id: JobId): ShardId | undefined {
    const accepted = this.acceptedJobs.get(id);
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

  /** The jobs of each shard that has had jobs or job pages, or whose jobs were read. */
  allShardJobs(): Iterable<readonly [ShardId, ShardJobs]> {
    return this.#jobsByShard;
  }

  /** The open attempts on a machine, of jobs in the machine's shard, by task. */
  openAttemptsOn(id: MachineId): ReturnType<ShardJobs["openAttemptsOn"]> {
    return this.shardJobs(this.machines.get(id)?.shard ?? shardId(0)).openAttemptsOn(id);
  }

  /** The key of the page that holds a machine's record. */
  machinePageKeyOf(id: MachineId): string | undefined {
    return this.#fleet.pageKeyOf(id);
  }

  /** Whether a gone record names the machine: the cloud has reported it gone. */
  isGone(id: MachineId): boolean {
    return this.#fleet.gone.has(id);
  }

  /** The revision of a key in this copy; `KEY_ABSENT` if the key does not exist. */
  revisionOf(key: string): Revision {
    return this.#revisions.revisionOf(key);
  }

  /** Whether this change or a newer one of the same key has been applied. */
  isApplied(change: StoreChange): boolean {
    return this.#revisions.isRecorded(change);
  }

  /** Applies one change; ignores it if a newer one of the same key has been applied. */
  apply(change: StoreChange): void {
    const { key, rev } = change;
    if (rev > this.latestSeenRevision) this.latestSeenRevision = rev;
    if (this.isApplied(change)) return;
    this.#revisions.record(change, this.syncedRevision);
    const { kind, name } = classifyKey(key);
    if (change.kind === "put") this.#handlers[kind].put(name, change.value, rev, key);
    else this.#handlers[kind].drop(name, key);
  }

  /** Records that all changes up to `rev` have been applied. */
  advanceTo(rev: Revision): void {
    if (rev <= this.syncedRevision) return;
    this.syncedRevision = rev;
    if (rev > this.latestSeenRevision) this.latestSeenRevision = rev;
    this.#revisions.advanceTo(rev);
  }

  /** Applies a full scan: keys that it lacks are deleted, unless they are newer than the scan. */
  applyScan(items: readonly KeyValue[], rev: Revision): void {
    const present = new Set(items.map((item) => item.key));
    for (const [key, knownRev] of [...this.#revisions.entries()])
      if (!present.has(key) && knownRev <= rev) this.apply({ kind: "delete", key, rev });
    for (const item of items) this.apply({ kind: "put", ...item });
    this.advanceTo(rev);
  }

  #putAcceptedJob(id: JobId, value: unknown, rev: Revision): void {
    // Called before and after, to mark the job in its old and its new shard if they differ.
    this.#jobChanged(id);
    const before = this.acceptedJobs.get(id);
    putParsed(this.acceptedJobs, id, parseAcceptedJob(id, value), rev);
    this.spans.jobChanged(before?.value, this.acceptedJobs.get(id)?.value);
    if (before !== undefined) this.rewrittenJobs.add(id);
    this.#jobChanged(id);
  }

  #dropAcceptedJob(id: JobId): void {
    this.#jobChanged(id);
    this.spans.jobChanged(this.acceptedJobs.get(id)?.value, undefined);
    this.acceptedJobs.delete(id);
    this.recentlyEndedJobs.set(id, true);
  }

  #putMachinePage(shard: ShardId, key: string, value: unknown, rev: Revision): void {
    // The machines of an unreadable page keep their last known records.
    const machines = parseMachinePage(shard, value) ?? this.machinePages.get(key)?.machines;
    this.#fleet.putPage(key, { shard, rev, machines: machines ?? new Map() });
  }

  #putGoneRecord(name: string, value: unknown, rev: Revision): void {
    putParsed(this.goneRecords, name, parseGoneRecord(value), rev);
    for (const id of this.goneRecords.get(name)?.value.ids ?? []) this.recentlyGoneMachines.add(id);
    this.#refreshGone();
  }

  #refreshGone(): void {
    this.#fleet.setGone([...this.goneRecords.values()].flatMap((record) => record.value.ids));
  }

  #putTeams(value: unknown, rev: Revision): void {
    this.teams = { value: parseTeams(value), rev };
    this.spans.homeShardsChanged();
    for (const id of this.acceptedJobs.keys()) this.#jobChanged(id);
  }

  #jobChanged(id: JobId): void {
    const shard = this.shardOf(id);
    if (shard !== undefined) this.shardJobs(shard).jobChanged(id);
  }
}
