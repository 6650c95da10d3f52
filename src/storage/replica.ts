import type { MachineType } from "../protocol/cloud.js";
import {
  ABSENT,
  type AttemptNo,
  type ControllerLabel,
  controllerLabel,
  type JobId,
  jobId,
  type MachineId,
  machineId,
  type Revision,
  revision,
  type ShareNo,
  shareNo,
  type TaskId,
  type TeamName,
  taskId,
} from "../protocol/ids.js";
import type { Change, Item } from "../protocol/store.js";
import {
  classify,
  type HireRecord,
  type Holder,
  type LiveJob,
  type MachineRecord,
  parseHire,
  parseHolder,
  parseLive,
  parseMachine,
  parseTeams,
  parseTypesRecord,
} from "./records.js";

export interface Versioned<T> {
  readonly value: T;
  readonly rev: Revision;
}

export interface OpenOn {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: AttemptNo;
}

/** What this controller knows of the state service's `now/` keys, kept up by the watch. */
export class Replica {
  readonly jobs = new Map<JobId, Versioned<LiveJob>>();
  readonly machines = new Map<MachineId, Versioned<MachineRecord>>();
  readonly shares = new Map<ShareNo, Versioned<Holder>>();
  readonly members = new Map<ControllerLabel, Versioned<Holder>>();
  readonly hires = new Map<string, Versioned<HireRecord>>();
  leader: Versioned<Holder> | undefined;
  types: Versioned<readonly MachineType[]> | undefined;
  teams: Versioned<ReadonlyMap<TeamName, ShareNo>> | undefined;
  /** All changes up to here are in. */
  position = revision(0);
  /** Open attempts by machine and task. */
  readonly #openOn = new Map<MachineId, Map<TaskId, OpenOn>>();
  readonly #revs = new Map<string, Revision>();
  /** Keys deleted beyond what the watch has told: its older news must not bring them back. */
  readonly #dropped = new Map<string, Revision>();

  openOn(id: MachineId): ReadonlyMap<TaskId, OpenOn> {
    return this.#openOn.get(id) ?? NONE;
  }

  rev(key: string): Revision {
    return this.#revs.get(key) ?? ABSENT;
  }

  /** Takes one change in; older news than what is known is passed over. */
  apply(c: Change): void {
    const known = this.#revs.get(c.key) ?? this.#dropped.get(c.key) ?? ABSENT;
    if (c.rev <= known) return;
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
        const job = parseLive(id, value);
        this.#index(id, undefined);
        if (job === undefined) this.jobs.delete(id);
        else {
          this.jobs.set(id, { value: job, rev });
          this.#index(id, job);
        }
        return;
      }
      case "machine":
        keep(this.machines, machineId(name), parseMachine(value), rev);
        return;
      case "share":
        keep(this.shares, shareNo(Number(name)), parseHolder(value), rev);
        return;
      case "member":
        keep(this.members, controllerLabel(name), parseHolder(value), rev);
        return;
      case "hire":
        keep(this.hires, name, parseHire(value), rev);
        return;
      case "leader": {
        const h = parseHolder(value);
        this.leader = h === undefined ? undefined : { value: h, rev };
        return;
      }
      case "types":
        this.types = { value: parseTypesRecord(value), rev };
        return;
      case "teams":
        this.teams = { value: parseTeams(value), rev };
        return;
      case "other":
        return;
    }
  }

  #drop(key: string): void {
    const { kind, name } = classify(key);
    switch (kind) {
      case "live":
        this.#index(jobId(name), undefined);
        this.jobs.delete(jobId(name));
        return;
      case "machine":
        this.machines.delete(machineId(name));
        return;
      case "share":
        this.shares.delete(shareNo(Number(name)));
        return;
      case "member":
        this.members.delete(controllerLabel(name));
        return;
      case "hire":
        this.hires.delete(name);
        return;
      case "leader":
        this.leader = undefined;
        return;
      case "types":
        this.types = undefined;
        return;
      case "teams":
        this.teams = undefined;
        return;
      case "other":
        return;
    }
  }

  /** Replaces what the index holds of one job; call before the job's map entry changes. */
  #index(id: JobId, next: LiveJob | undefined): void {
    if (next === undefined) {
      for (const o of this.jobs.get(id)?.value.open ?? []) {
        const on = this.#openOn.get(o.machine);
        on?.delete(taskId(id, o.index));
        if (on?.size === 0) this.#openOn.delete(o.machine);
      }
      return;
    }
    for (const o of next.open) {
      let on = this.#openOn.get(o.machine);
      if (on === undefined) {
        on = new Map();
        this.#openOn.set(o.machine, on);
      }
      on.set(taskId(id, o.index), { job: id, index: o.index, attempt: o.attempt });
    }
  }
}

const NONE: ReadonlyMap<TaskId, OpenOn> = new Map();

const keep = <K, V>(
  map: Map<K, Versioned<V>>,
  key: K,
  value: V | undefined,
  rev: Revision,
): void => {
  if (value === undefined) map.delete(key);
  else map.set(key, { value, rev });
};
