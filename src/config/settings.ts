import { type ControllerLabel, controllerLabel, type TeamName, teamName } from "@umberfold/ids";
import { parse } from "smol-toml";
import { minSockets } from "../transport/sockets.js";
import { FieldReader } from "./field-reader.js";

export interface Team {
  readonly name: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  /** 0 on the wire means none; here that is infinity. */
  readonly cpusMax: number;
  readonly gpusMax: number;
}

const ANY = Number.POSITIVE_INFINITY;

export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number | null;
  readonly share: number | null;
  /** For deadlines: how many times as long as a job's own. */
  readonly times: number | null;
}

/** Kinds of objectives that are known; not all of them can be scheduled for. */
const OBJECTIVES: readonly string[] = [
  ...["wait", "finished", "deadline", "guarantee", "makespan"],
  ...["submit", "useful", "price", "rules", "node_restarts"],
];

/** An aim that can't be read is no reason not to start: it is passed over, and logged. */
const objective = (r: FieldReader, passedOver: string[]): Objective | undefined => {
  const faults: string[] = [];
  const row = r.apart(faults);
  const kind = row.text("kind");
  if (faults.length === 0 && !OBJECTIVES.includes(kind)) faults.push(`${r.where}: kind ${kind}`);
  const optional = (name: string): number | null =>
    faults.length === 0 && row.has(name) ? row.number(name, 0, ANY) : null;
  const read = {
    kind,
    jobClass: faults.length === 0 && row.has("class") ? row.text("class") : null,
    withinS: optional("within_s"),
    share: optional("share"),
    times: optional("times"),
  };
  passedOver.push(...faults);
  return faults.length === 0 ? read : undefined;
};

export interface Seed {
  readonly label: ControllerLabel;
  readonly address: string;
}

/** The file that the platform hands over. */
export interface Settings {
  readonly label: ControllerLabel;
  readonly zone: string;
  readonly frontAddress: string;
  readonly internalAddress: string;
  readonly seeds: readonly Seed[];
  readonly cloudAddress: string;
  readonly stateAddress: string;
  readonly shardCount: number;
  readonly zones: readonly string[];
  readonly skewMs: number;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  /** Objectives that could not be read, a line each. */
  readonly ignoredObjectives: readonly string[];
  readonly workers: {
    readonly reportS: number;
    readonly leaseS: number;
    readonly cancelS: number;
  };
  readonly state: {
    readonly rps: number;
    readonly writeRps: number;
    readonly valueKb: number;
    readonly txnOps: number;
  };
  readonly cloud: { readonly rps: number; readonly listLagS: number };
  readonly resources: {
    readonly cpuShare: number;
    readonly ramMb: number;
    readonly maxSockets: number;
  };
}

export type Checked<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly faults: readonly string[] };

/** What a process holds before it has read anything, and room to read it. */
const LEAST_RAM_MB = 80;
const limit = (n: number): number => (n === 0 ? ANY : n);

export const parseSettings = (source: string): Checked<Settings> => {
  let raw: unknown;
  try {
    raw = parse(source);
  } catch (e) {
    return { ok: false, faults: [`not TOML: ${String((e as Error).message).split("\n")[0]}`] };
  }
  const faults: string[] = [];
  const ignoredObjectives: string[] = [];
  const top = new FieldReader({ ...(raw as object) }, "", faults);
  const services = top.section("services");
  const params = top.section("params");
  const workers = params.section("workers");
  const state = params.section("state");
  const cloud = params.section("cloud");
  const resources = params.section("resources");
  const members = top.rows("seeds").length + 1;
  const value: Settings = {
    label: controllerLabel(top.text("label")),
    zone: top.text("area"),
    frontAddress: top.address("front"),
    internalAddress: top.address("internal_addr"),
    seeds: top.rows("seeds").map((r) => ({
      label: controllerLabel(r.text("label")),
      address: r.address("address"),
    })),
    cloudAddress: services.address("cloud"),
    stateAddress: services.address("state"),
    shardCount: params.whole("size", 1, 1000),
    zones: params.texts("zones"),
    skewMs: params.number("skew_ms", 0, ANY, 0),
    teams: params.rows("teams").map((r) => ({
      name: teamName(r.text("name")),
      cpus: r.number("cpus", 0, ANY, 0),
      gpus: r.number("gpus", 0, ANY, 0),
      cpusMax: limit(r.number("cpus_max", 0, ANY, 0)),
      gpusMax: limit(r.number("gpus_max", 0, ANY, 0)),
    })),
    objectives: params.rows("objectives").flatMap((r) => objective(r, ignoredObjectives) ?? []),
    ignoredObjectives,
    workers: {
      reportS: workers.number("report_s", 0.01, ANY),
      leaseS: workers.number("lease_s", 0.1, ANY),
      cancelS: workers.number("cancel_s", 0.1, ANY),
    },
    state: {
      rps: state.number("rps", 1, ANY),
      writeRps: state.number("write_rps", 1, ANY),
      valueKb: state.number("value_kb", 1, ANY),
      // A batch never needs more than a completion, its record and a condition's worth of room.
      txnOps: state.whole("txn_ops", 2, 100_000),
    },
    cloud: {
      rps: cloud.number("rps", 0.01, ANY),
      listLagS: cloud.number("list_lag_s", 0, ANY, 0),
    },
    resources: {
      cpuShare: resources.number("cpu_share", 0.001, ANY, 1),
      ramMb: resources.number("ram_mb", LEAST_RAM_MB, ANY, 512),
      maxSockets: resources.whole("max_sockets", minSockets(members), 10_000_000, 1024),
    },
  };
  const names = new Set(value.teams.map((t) => t.name));
  if (names.size !== value.teams.length) faults.push("params.teams: a name appears twice");
  const labels = [value.label, ...value.seeds.map((s) => s.label)];
  if (new Set(labels).size !== labels.length) faults.push("seeds: a label appears twice");
  return faults.length > 0 ? { ok: false, faults } : { ok: true, value };
};
