import {
  ABSENT,
  type ControllerLabel,
  controllerLabel,
  type JobId,
  jobId,
  type MachineId,
  type Revision,
  revision,
  type ShardId,
  shardId,
  type TeamName,
} from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";
import type { Change, Item } from "../protocol/store.js";
import { parseTeams, parseTypesRecord } from "./cluster-records.js";
import { FleetIndex, type FleetPage } from "./fleet-index.js";
import { parseFleetPage } from "./pages.js";
import {
  type Accepted,
  type ControllerId,
  classify,
  type GoneRecord,
  type LiveJob,
  type MachineRecord,
  parseControllerId,
  parseGone,
  parseLive,
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
  readonly accepted = new Map<JobId, Versioned<Accepted>>();
  readonly #fleet = new FleetIndex((key) => this.rev(key));
  readonly shards = new Map<ShardId, Versioned<ControllerId>>();
  readonly members = new Map<ControllerLabel, Versioned<ControllerId>>();
  readonly rentals = new Map<string, Versioned<RentalIntent>>();
  readonly goneRecords = new Map<string, Versioned<GoneRecord>>();
  leader: Versioned<ControllerId> | undefined;
  types: Versioned<readonly MachineType[]> | undefined;
  teams: Versioned<ReadonlyMap<TeamName, ShardId>> | undefined;
  readonly spans: SpanIndex;
  /** All changes up to here are in. */
  position = revision(0);
  /** The highest revision heard of: some change up to here is known, not all need be. */
  latest = revision(0);
  /** Jobs whose records were rewritten and machines proved gone since these were last emptied. */
  readonly rewrittenJobs = new Set<JobId>();
  readonly goneLately = new Set<MachineId>();
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

  get fleetPages(): ReadonlyMap<string, FleetPage> {
    return this.#fleet.pages;
  }

  /** Rises with every change of machines, and of who owns their shards. */
  get fleetVersion(): number {
    return this.#fleet.version;
  }

  /** The jobs of a shard and their open attempts. */
  work(shard: ShardId): ShardJobs {
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
    return shard === undefined ? undefined : this.work(shard).jobs.get(id);
  }

  /** The live jobs of all shards. */
  *allJobs(): Iterable<readonly [JobId, LiveJob]> {
    for (const w of this.#work.values()) yield* w.jobs;
  }

  /** The work of each shard of which something is known. */
  works(): Iterable<readonly [ShardId, ShardJobs]> {
    return this.#work;
  }

  openOn(id: MachineId): ReturnType<ShardJobs["openOn"]> {
    return this.work(this.machines.get(id)?.shard ?? shardId(0)).openOn(id);
  }

  fleetPageOf(id: MachineId): string | undefined {
    return this.#fleet.pageOf(id);
  }

  /** The cloud has said that it is gone. */
  isGone(id: MachineId): boolean {
    return this.#fleet.gone.has(id);
  }

  rev(key: string): Revision {
    return this.#revs.get(key) ?? ABSENT;
  }

  /** Whether a change is in already: written here, or heard of by another way. */
  knows(c: Change): boolean {
    return c.rev <= (this.#revs.get(c.key) ?? this.#dropped.get(c.key) ?? ABSENT);
  }

  /** Takes one change in; older news than what is known is passed over. */
  apply(c: Change): void {
    if (c.rev > this.latest) this.latest = c.rev;
    if (this.knows(c)) return;
    if (c.kind === "put") {
      this.#revs.set(c.key, c.rev);
      this.#dropped.delete(c.key);
      this.#put(c.key, c.value, c.rev);
    } else {
      this.#revs.delete(c.key);
      if (c.rev > this.position) this.#dropped.set(c.key, c.rev);
      this.#drop(c.key);
    }
  }

  /** The watch has told everything up to `rev`. */
  advance(rev: Revision): void {
    if (rev <= this.position) return;
    this.position = rev;
    if (rev > this.latest) this.latest = rev;
    for (const [key, at] of this.#dropped) if (at <= rev) this.#dropped.delete(key);
  }

  /** A full scan: keys that it lacks are gone, unless they are younger than the scan. */
  reset(items: readonly Item[], rev: Revision): void {
    const present = new Set(items.map((i) => i.key));
    for (const [key, at] of [...this.#revs])
      if (!present.has(key) && at <= rev) this.apply({ kind: "delete", key, rev });
    for (const i of items) this.apply({ kind: "put", ...i });
    this.advance(rev);
  }

  #put(key: string, value: unknown, rev: Revision): void {
    const { kind, name } = classify(key);
    switch (kind) {
      case "live": {
        const id = jobId(name);
        this.#jobChanged(id);
        const was = this.accepted.get(id);
        keep(this.accepted, id, parseLive(id, value), rev);
        this.spans.jobChanged(was?.value, this.accepted.get(id)?.value);
        if (was !== undefined) this.rewrittenJobs.add(id);
        this.#jobChanged(id);
        return;
      }
      case "work":
        this.work(shardOfPage(name)).pageChanged(key, value, rev);
        return;
      case "fleet": {
        const shard = shardOfPage(name);
        // An unreadable page leaves what was last known of its machines.
        const machines = parseFleetPage(shard, value) ?? this.fleetPages.get(key)?.machines;
        this.#fleet.put(key, { shard, rev, machines: machines ?? new Map() });
        return;
      }
      case "gone":
        keep(this.goneRecords, name, parseGone(value), rev);
        for (const id of this.goneRecords.get(name)?.value.ids ?? []) this.goneLately.add(id);
        this.#fleet.setGone([...this.goneRecords.values()].flatMap((g) => g.value.ids));
        return;
      case "shard":
        keep(this.shards, shardId(Number(name)), parseControllerId(value), rev);
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
        this.types = { value: parseTypesRecord(value), rev };
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
    const { kind, name } = classify(key);
    switch (kind) {
      case "live":
        this.#jobChanged(jobId(name));
        this.spans.jobChanged(this.accepted.get(jobId(name))?.value, undefined);
        this.accepted.delete(jobId(name));
        return;
      case "work":
        this.work(shardOfPage(name)).pageChanged(key, { m: [], j: [] }, ABSENT);
        return;
      case "fleet":
        this.#fleet.drop(key);
        return;
      case "gone":
        this.goneRecords.delete(name);
        this.#fleet.setGone([...this.goneRecords.values()].flatMap((g) => g.value.ids));
        return;
      case "shard":
        this.shards.delete(shardId(Number(name)));
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
        this.types = undefined;
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
    if (shard !== undefined) this.work(shard).jobChanged(id);
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
