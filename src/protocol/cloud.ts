/**
 * Messages to and from the cloud: machine types, the list of machines, scale-out and scale-in.
 *
 * Maps the wire's names (`frame`, `mill`, `loom`, `remnant`, `stage`) to the glossary's terms. Each
 * message has one reader or one writer here. Rows that can't be read are left out of a list; a body
 * that can't be read at all gives undefined.
 */
import { type MachineId, machineId } from "@umberfold/ids";
import { amount, type Fields, isMap, list, text } from "./cbor.js";
import type { Resources } from "./jobs.js";

/** A kind of machine that can be rented. Prices are per hour, from the rental until it is gone. */
export interface MachineType {
  readonly name: string;
  readonly capacity: Resources;
  /** Room for images, in GB. */
  readonly cacheGb: number;
  /** How fast images are fetched; those fetched at the same time may share it. */
  readonly fetchGbPerS: number;
  readonly price: number;
  /** The present price as a spot machine; as `price` where the cloud names none. */
  readonly spotPrice: number;
  /** Seconds from the rental until its worker is up, as a rule; some take much longer. */
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** One call to scale out. The name makes it idempotent: a repetition rents nothing more. */
export interface RentalRequest {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** What a machine does, as the cloud sees it. The wire's words are the same. */
export type CloudMachinePhase = "starting" | "running" | "failed";

const MACHINE_PHASES: readonly CloudMachinePhase[] = ["starting", "running", "failed"];

/** A machine in the cloud's list. */
export interface ListedMachine {
  readonly id: MachineId;
  /** Host and port of its worker; empty as long as it has none. */
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: CloudMachinePhase;
  /** Seconds from the rental request to the moment that the list describes. */
  readonly ageS: number;
}

/** The cloud's own bound on the machines of one scale-out. */
export const MAX_RENTALS_PER_CALL = 50;
/** The cloud's own bound on the machines of one scale-in. */
export const MAX_RETURNS_PER_CALL = 100;
/** The cloud's own bound on one page of its list. */
export const MAX_MACHINES_PER_LIST = 500;

/** `label`, `cpus`, `ramGb` and `mills` are needed; what else is missing counts as 0. */
const parseType = (row: unknown): MachineType | undefined => {
  if (!isMap(row)) return undefined;
  const name = text(row.label);
  const cpus = amount(row.cpus);
  const ramGb = amount(row.ramGb);
  const zones = list(row.mills)?.map(text);
  if (!name || cpus === undefined || ramGb === undefined || zones === undefined) return undefined;
  const price = amount(row.price) ?? 0;
  return {
    name,
    capacity: { cpus, gpus: amount(row.gpus) ?? 0, ramGb },
    cacheGb: amount(row.cacheGb) ?? 0,
    fetchGbPerS: amount(row.pullGbPerS) ?? 0,
    price,
    spotPrice: amount(row.spotPrice) ?? price,
    bootS: amount(row.bootS) ?? 0,
    zones: zones.filter((zone): zone is string => zone !== undefined),
  };
};

/** Reads the answer to the question for machine types. */
export const parseMachineTypes = (body: unknown): readonly MachineType[] | undefined => {
  if (!isMap(body)) return undefined;
  const rows = list(body.frames)?.map(parseType);
  return rows?.filter((type): type is MachineType => type !== undefined);
};

/** `uid` and a known `stage` are needed. */
const parseListed = (row: unknown): ListedMachine | undefined => {
  if (!isMap(row)) return undefined;
  const id = text(row.uid);
  const phase = MACHINE_PHASES.find((known) => known === row.stage);
  if (!id || phase === undefined) return undefined;
  return {
    id: machineId(id),
    endpoint: text(row.endpoint) ?? "",
    type: text(row.frame) ?? "",
    zone: text(row.mill) ?? "",
    spot: row.remnant === true,
    phase,
    ageS: amount(row.heldS) ?? 0,
  };
};

/** One page of the cloud's list; `more`: there are machines after its last. */
export interface MachineListPage {
  readonly machines: readonly ListedMachine[];
  readonly more: boolean;
}

/** Where a page of the list is asked for: the machines after the given one. */
export const listPath = (after: string | undefined): string =>
  `/machines?limit=${MAX_MACHINES_PER_LIST}${after === undefined ? "" : `&from=${after}`}`;

/** Reads a page of the list. */
export const parseMachineList = (body: unknown): MachineListPage | undefined => {
  if (!isMap(body)) return undefined;
  const rows = list(body.looms)?.map(parseListed);
  if (rows === undefined) return undefined;
  return {
    machines: rows.filter((machine): machine is ListedMachine => machine !== undefined),
    more: body.hasNext === true,
  };
};

/** The body of a scale-out. */
export const rentalBody = (request: RentalRequest): Fields => ({
  hire: request.name,
  frame: request.type,
  mill: request.zone,
  remnant: request.spot,
  count: request.count,
});

/** Reads the answer to a scale-out: the machines that were rented under its name. */
export const parseRentedMachines = (body: unknown): readonly MachineId[] | undefined => {
  if (!isMap(body)) return undefined;
  return list(body.looms)
    ?.filter((id): id is string => typeof id === "string")
    .map(machineId);
};

/** The body of a scale-in. */
export const returnBody = (ids: readonly MachineId[]): Fields => ({ looms: ids });
