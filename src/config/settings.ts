/**
 * The platform's file, in TOML: who this controller is, where the others are, and what the protocol
 * and the machine allow. It is read once, at the start, and doesn't change while a process lives.
 *
 * Unknown fields are ignored, since the platform may add some. Wire names are mapped here, each once.
 */
import { type ControllerLabel, controllerLabel, type TeamName, teamName } from "@umberfold/ids";
import { parse } from "smol-toml";
import { minSockets } from "../transport/sockets.js";
import { type Checked, checked } from "./checked.js";
import { describeValue, FieldReader } from "./field-reader.js";

export type { Checked } from "./checked.js";

const UNLIMITED = Number.POSITIVE_INFINITY;

/** A team's quota: what it is guaranteed, and what it may use at most. */
export interface Team {
  readonly name: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  /** 0 in the file means none; here that is infinity. */
  readonly cpusMax: number;
  /** The same for devices. */
  readonly gpusMax: number;
}

/** A service-level objective: what the settings ask of a job class. */
export interface Objective {
  readonly kind: string;
  /** Null: of all classes. */
  readonly jobClass: string | null;
  readonly withinS: number | null;
  /** The part of the jobs for which it should hold. */
  readonly share: number | null;
  /** For deadlines: how many times as long as a job's own. */
  readonly times: number | null;
}

/** Kinds of objectives that are known; not all of them can be scheduled for. */
const OBJECTIVE_KINDS: readonly string[] = [
  ...["wait", "finished", "deadline", "guarantee", "makespan"],
  ...["submit", "useful", "price", "rules", "node_restarts"],
];

/** One that can't be read is no reason not to start: it is ignored, and logged. */
const readObjective = (row: FieldReader, ignored: string[]): Objective | undefined => {
  const faults: string[] = [];
  const fields = row.withFaults(faults);
  const kind = fields.string("kind");
  if (faults.length === 0 && !OBJECTIVE_KINDS.includes(kind))
    faults.push(
      `${row.path}.kind: must be one of ${OBJECTIVE_KINDS.join(", ")}, not ${describeValue(kind)}`,
    );
  // The first fault is enough to find the row: what follows it isn't read.
  const optional = <Value>(name: string, read: () => Value): Value | null =>
    faults.length === 0 && fields.has(name) ? read() : null;
  const optionalNumber = (name: string): number | null =>
    optional(name, () => fields.number(name, 0, UNLIMITED));
  const objective: Objective = {
    kind,
    jobClass: optional("class", () => fields.string("class")),
    withinS: optionalNumber("within_s"),
    share: optionalNumber("share"),
    times: optionalNumber("times"),
  };
  ignored.push(...faults);
  return faults.length === 0 ? objective : undefined;
};

/** Another controller. */
export interface Seed {
  readonly label: ControllerLabel;
  /** Host and port of its internal server. */
  readonly address: string;
}

/** What the protocol prescribes for workers. */
export interface WorkerSettings {
  /** Seconds between two heartbeats. */
  readonly heartbeatPeriodS: number;
  /** Seconds after its last answered heartbeat at which a worker ends all tasks. */
  readonly leaseS: number;
  /** Seconds within which a cancelled job's tasks must be gone. */
  readonly cancellationTimeoutS: number;
}

/** What the state store allows. */
export interface StateSettings {
  /** Requests a second, of all controllers together; renewals of leases and watches count. */
  readonly rps: number;
  /** Puts and deletes a second, of all controllers together; those of refused transactions count. */
  readonly writeRps: number;
  /** The largest value, in KiB. */
  readonly valueKb: number;
  /** The most puts and deletes of one transaction. */
  readonly txnOps: number;
}

/** What the cloud allows. */
export interface CloudSettings {
  /** Requests a second; all go through the leader but for forced returns. */
  readonly rps: number;
  /** Seconds by which its list of machines is behind; at times up to twice as many. */
  readonly listLagS: number;
}

/** What this process may use of its machine. */
export interface ProcessResources {
  /** The part of a core. */
  readonly cpuFraction: number;
  readonly ramMb: number;
  readonly maxSockets: number;
}

/** The file that the platform hands over. */
export interface Settings {
  readonly label: ControllerLabel;
  /** The zone that this controller runs in. */
  readonly zone: string;
  /** Where users, workers and the load balancer reach it. */
  readonly frontAddress: string;
  /** Where the other controllers reach it. */
  readonly internalAddress: string;
  /** The other controllers. */
  readonly seeds: readonly Seed[];
  readonly cloudAddress: string;
  readonly stateAddress: string;
  readonly shardCount: number;
  /** All zones of the cloud. */
  readonly zones: readonly string[];
  /** How far the wall clocks of two hosts may differ. */
  readonly skewMs: number;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  /** Objectives that could not be read, a line each. */
  readonly ignoredObjectives: readonly string[];
  readonly workers: WorkerSettings;
  readonly state: StateSettings;
  readonly cloud: CloudSettings;
  readonly resources: ProcessResources;
}

/** What a process takes before it has read anything, and room to read it. */
const MIN_RAM_MB = 80;
const DEFAULT_RAM_MB = 512;
const MAX_SOCKETS = 10_000_000;
const DEFAULT_MAX_SOCKETS = 1024;
const MAX_SHARDS = 1000;
/** A batch never needs more than a completion, its record and a condition's worth of room. */
const MIN_TXN_OPS = 2;
const MAX_TXN_OPS = 100_000;

const readSeed = (row: FieldReader): Seed => ({
  label: controllerLabel(row.string("label")),
  address: row.address("address"),
});

const readLimit = (row: FieldReader, name: string): number => {
  const limit = row.number(name, 0, UNLIMITED, 0);
  return limit === 0 ? UNLIMITED : limit;
};

const readTeam = (row: FieldReader): Team => ({
  name: teamName(row.string("name")),
  cpus: row.number("cpus", 0, UNLIMITED, 0),
  gpus: row.number("gpus", 0, UNLIMITED, 0),
  cpusMax: readLimit(row, "cpus_max"),
  gpusMax: readLimit(row, "gpus_max"),
});

const readWorkers = (section: FieldReader): WorkerSettings => ({
  heartbeatPeriodS: section.number("report_s", 0.01, UNLIMITED),
  leaseS: section.number("lease_s", 0.1, UNLIMITED),
  cancellationTimeoutS: section.number("cancel_s", 0.1, UNLIMITED),
});

const readState = (section: FieldReader): StateSettings => ({
  rps: section.number("rps", 1, UNLIMITED),
  writeRps: section.number("write_rps", 1, UNLIMITED),
  valueKb: section.number("value_kb", 1, UNLIMITED),
  txnOps: section.integer("txn_ops", MIN_TXN_OPS, MAX_TXN_OPS),
});

const readCloud = (section: FieldReader): CloudSettings => ({
  rps: section.number("rps", 0.01, UNLIMITED),
  listLagS: section.number("list_lag_s", 0, UNLIMITED, 0),
});

const readResources = (section: FieldReader, members: number): ProcessResources => ({
  cpuFraction: section.number("cpu_share", 0.001, UNLIMITED, 1),
  ramMb: section.number("ram_mb", MIN_RAM_MB, UNLIMITED, DEFAULT_RAM_MB),
  maxSockets: section.integer("max_sockets", minSockets(members), MAX_SOCKETS, DEFAULT_MAX_SOCKETS),
});

/** In the order of the file, which is the order in which faults are reported. */
const readSettings = (top: FieldReader): Settings => {
  const services = top.section("services");
  const params = top.section("params");
  const workers = params.section("workers");
  const state = params.section("state");
  const cloud = params.section("cloud");
  const resources = params.section("resources");
  const seeds = top.tables("seeds");
  const ignoredObjectives: string[] = [];
  return {
    label: controllerLabel(top.string("label")),
    zone: top.string("area"),
    frontAddress: top.address("front"),
    internalAddress: top.address("internal_addr"),
    seeds: seeds.map(readSeed),
    cloudAddress: services.address("cloud"),
    stateAddress: services.address("state"),
    shardCount: params.integer("size", 1, MAX_SHARDS),
    zones: params.strings("zones"),
    skewMs: params.number("skew_ms", 0, UNLIMITED, 0),
    teams: params.tables("teams").map(readTeam),
    objectives: params
      .tables("objectives")
      .flatMap((row) => readObjective(row, ignoredObjectives) ?? []),
    ignoredObjectives,
    workers: readWorkers(workers),
    state: readState(state),
    cloud: readCloud(cloud),
    resources: readResources(resources, seeds.length + 1),
  };
};

/** The first value that stands twice. */
const findDuplicate = (values: readonly string[]): string | undefined =>
  values.find((value, index) => values.indexOf(value) < index);

/** The file's settings, or a line for each fault. */
export const parseSettings = (source: string): Checked<Settings> => {
  let raw: unknown;
  try {
    raw = parse(source);
  } catch (error) {
    const [reason] = (error as Error).message.split("\n");
    return { ok: false, faults: [`not TOML: ${reason}`] };
  }
  const faults: string[] = [];
  const settings = readSettings(new FieldReader({ ...(raw as object) }, "", faults));
  const team = findDuplicate(settings.teams.map(({ name }) => name));
  if (team !== undefined) faults.push(`params.teams: a name appears twice: ${describeValue(team)}`);
  const label = findDuplicate([settings.label, ...settings.seeds.map((seed) => seed.label)]);
  if (label !== undefined) faults.push(`seeds: a label appears twice: ${describeValue(label)}`);
  return checked(settings, faults);
};
