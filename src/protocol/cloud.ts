/**
 * Messages to and from the cloud: machine types, the list of machines, scale-out and scale-in.
 *
 * Maps field names on the wire to the terms of this code: `frame` is a machine type, `mill` a zone,
 * `loom` a machine, `remnant` a spot machine and `stage` a phase. Each message has one parser or
 * one function that builds it. Malformed rows are left out of a list; for a malformed body, a
 * parser returns undefined.
 */
import { type MachineId, machineId } from "@umberfold/ids";
import { amount, type Fields, isMap, list, text } from "./cbor.js";
import type { Resources } from "./jobs.js";

/**
 * A type of machine to rent. Prices are per hour, from the rental until the machine is returned.
 */
export interface MachineType {
  readonly name: string;
  readonly capacity: Resources;
  /** Capacity of the image cache, in GB. */
  readonly cacheGb: number;
  /** Bandwidth for fetching images; concurrent fetches may share it. */
  readonly fetchGbPerS: number;
  readonly price: number;
  /** The current price as a spot machine; equals `price` if the cloud gives none. */
  readonly spotPrice: number;
  /** Typical seconds from the rental until its worker is up; some machines take much longer. */
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** A scale-out request. Its name makes it idempotent: a repeated request rents no more machines. */
export interface RentalRequest {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** The phase of a machine in the cloud's list; the values are the same on the wire. */
export type CloudMachinePhase = "starting" | "running" | "failed";

const MACHINE_PHASES: readonly CloudMachinePhase[] = ["starting", "running", "failed"];

/** A machine in the cloud's list of machines. */
export interface ListedMachine {
  readonly id: MachineId;
  /** Host and port of its worker; empty while it has none. */
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: CloudMachinePhase;
  /** Seconds from the rental request to the time at which the list was valid. */
  readonly ageS: number;
}

/** The cloud's limit on the machines of one scale-out. */
export const MAX_RENTALS_PER_CALL = 50;
/** The cloud's limit on the machines of one scale-in. */
export const MAX_RETURNS_PER_CALL = 100;
/** The cloud's limit on the machines of one page of its list. */
export const MAX_MACHINES_PER_PAGE = 500;

/**
 * Requires `label`, `cpus`, `ramGb` and `mills`. A missing `spotPrice` defaults to `price`, other
 * missing numbers to 0.
 */
const parseMachineType = (row: unknown): MachineType | undefined => {
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

/** Parses the response to a request for the machine types. */
export const parseMachineTypes = (body: unknown): readonly MachineType[] | undefined => {
  if (!isMap(body)) return undefined;
  const rows = list(body.frames)?.map(parseMachineType);
  return rows?.filter((type): type is MachineType => type !== undefined);
};

/** Requires `uid` and a known `stage`. */
const parseListedMachine = (row: unknown): ListedMachine | undefined => {
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

/** One page of the cloud's list; `hasMore`: another page follows. */
export interface MachineListPage {
  readonly machines: readonly ListedMachine[];
  readonly hasMore: boolean;
}

/** The path of a page of the list: the machines after the given ID, or the first page. */
export const machineListPath = (after: string | undefined): string =>
  `/machines?limit=${MAX_MACHINES_PER_PAGE}${after === undefined ? "" : `&from=${after}`}`;

/** Parses a page of the list. */
export const parseMachineList = (body: unknown): MachineListPage | undefined => {
  if (!isMap(body)) return undefined;
  const rows = list(body.looms)?.map(parseListedMachine);
  if (rows === undefined) return undefined;
  return {
    machines: rows.filter((machine): machine is ListedMachine => machine !== undefined),
    hasMore: body.hasNext === true,
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

/** Parses the response to a scale-out: the machines rented under the name of the request. */
export const parseRentedMachines = (body: unknown): readonly MachineId[] | undefined => {
  if (!isMap(body)) return undefined;
  return list(body.looms)
    ?.filter((id): id is string => typeof id === "string")
    .map(machineId);
};

/** The body of a scale-in. */
export const returnBody = (ids: readonly MachineId[]): Fields => ({ looms: ids });
