/**
 * The platform's settings file, in TOML: this controller's label and addresses, those of the other
 * controllers, and the limits of the protocol and of this process. It is read once, at the start.
 *
 * Unknown fields are ignored, since the platform may add some. The names in the file are mapped to
 * names in the code only here.
 */
import { type ControllerLabel, controllerLabel, type TeamName, teamName } from "@umberfold/ids";
import { parse } from "smol-toml";
import { minSockets } from "../transport/sockets.js";
import { type Checked, checked } from "./checked.js";
import { describeValue, FieldReader } from "./field-reader.js";

export type { Checked } from "./checked.js";

const UNLIMITED = Number.POSITIVE_INFINITY;

/** A team's quota: its guaranteed resources and its limits. */
export interface Team {
  readonly name: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  /** The limit; 0 in the file means no limit, which is infinity here. */
  readonly cpusMax: number;
  /** The limit on GPUs, likewise. */
  readonly gpusMax: number;
}

/** A service-level objective for a job class. */
export interface Objective {
  readonly kind: string;
  /** Null: all job classes. */
  readonly jobClass: string | null;
  readonly withinS: number | null;
  /** The fraction of the jobs for which the objective should hold. */
  readonly share: number | null;
  /** For deadline objectives: factor on the job's own deadline. */
  readonly times: number | null;
}

/** The known kinds of objectives; the scheduler uses only some of them. */
const OBJECTIVE_KINDS: readonly string[] = [
  ...["wait", "finished", "deadline", "guarantee", "makespan"],
  ...["submit", "useful", "price", "rules", "node_restarts"],
];

/** An invalid objective doesn't prevent the start: its fault is added to `ignored` and logged. */
const readObjective = (row: FieldReader, ignored: string[]): Objective | undefined => {
  const faults: string[] = [];
  const fields = row.withFaults(faults);
  const kind = fields.string("kind");
  if (faults.length === 0 && !OBJECTIVE_KINDS.includes(kind))
    faults.push(
      `${row.path}.kind: must be one of ${OBJECTIVE_KINDS.join(", ")}, not ${describeValue(kind)}`,
    );
  // One fault is enough to find the invalid table: no more fields are read after it.
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

/** The times that the protocol prescribes for workers. */
export interface WorkerSettings {
  /** Seconds between two heartbeats. */
  readonly heartbeatPeriodS: number;
  /**
   * Duration of a worker lease: a worker ends all tasks this long after its last answered
   * heartbeat.
   */
  readonly leaseS: number;
  /** Seconds within which all tasks of a cancelled job must have ended. */
  readonly cancellationTimeoutS: number;
}

/** The limits of the state store. */
export interface StateSettings {
  /** Requests per second of all controllers together, including lease renewals and watches. */
  readonly rps: number;
  /** Puts and deletes per second of all controllers together; refused transactions count too. */
  readonly writeRps: number;
  /** Maximum size of a value in KiB. */
  readonly valueKb: number;
  /** Maximum number of puts and deletes in one transaction. */
  readonly txnOps: number;
}

/** The limits of the cloud's API. */
export interface CloudSettings {
  /** Requests per second. Only the leader calls the cloud, except for forced returns. */
  readonly rps: number;
  /** Seconds by which the cloud's list of machines may be stale; occasionally twice as many. */
  readonly listLagS: number;
}

/** The resources that this process may use. */
export interface ProcessResources {
  /** The fraction of a processor core. */
  readonly cpuFraction: number;
  readonly ramMb: number;
  readonly maxSockets: number;
}

/** The validated settings of the platform. */
export interface Settings {
  readonly label: ControllerLabel;
  /** The zone that this controller runs in. */
  readonly zone: string;
  /** Host and port for users, workers and the load balancer. */
  readonly frontAddress: string;
  /** Host and port for the other controllers. */
  readonly internalAddress: string;
  /** The other controllers. */
  readonly seeds: readonly Seed[];
  readonly cloudAddress: string;
  readonly stateAddress: string;
  readonly shardCount: number;
  /** All zones of the cloud. */
  readonly zones: readonly string[];
  /** Maximum difference between the wall clocks of two hosts. */
  readonly skewMs: number;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  /** One line for each objective that was ignored because it is invalid. */
  readonly ignoredObjectives: readonly string[];
  readonly workers: WorkerSettings;
  readonly state: StateSettings;
  readonly cloud: CloudSettings;
  readonly resources: ProcessResources;
}

/** Memory that a process needs at the start, and to read the state store's records. */
const MIN_RAM_MB = 80;
const DEFAULT_RAM_MB = 512;
const MAX_SOCKETS = 10_000_000;
const DEFAULT_MAX_SOCKETS = 1024;
const MAX_SHARDS = 1000;
/**
 * The minimum for finishing a job in one transaction: one operation each on its live and its final
 * record, which also leaves room for the conditions.
 */
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

const readResources = (section: FieldReader, controllerCount: number): ProcessResources => ({
  cpuFraction: section.number("cpu_share", 0.001, UNLIMITED, 1),
  ramMb: section.number("ram_mb", MIN_RAM_MB, UNLIMITED, DEFAULT_RAM_MB),
  maxSockets: section.integer(
    "max_sockets",
    minSockets(controllerCount),
    MAX_SOCKETS,
    DEFAULT_MAX_SOCKETS,
  ),
});

/** Reads the fields in the order of the file, in which the faults are then reported. */
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

/** The first value that appears more than once. */
const findDuplicate = (values: readonly string[]): string | undefined =>
  values.find((value, index) => values.indexOf(value) < index);

/** Parses and validates the file; returns the settings, or a line for each fault. */
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
