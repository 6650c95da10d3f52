import { type MachineId, machineId } from "@umberfold/ids";
import { amount, type Fields, isMap, list, text } from "./cbor.js";
import type { Resources } from "./jobs.js";

export interface MachineType {
  readonly name: string;
  readonly capacity: Resources;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

export interface RentalRequest {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

export type CloudMachinePhase = "starting" | "running" | "failed";

export interface ListedMachine {
  readonly id: MachineId;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: CloudMachinePhase;
  readonly ageS: number;
}

/** The protocol's own bounds on one call. */
export const MAX_RENTALS_PER_CALL = 50;
export const MAX_RETURNS_PER_CALL = 100;
export const MAX_MACHINES_PER_LIST = 500;

const parseType = (v: unknown): MachineType | undefined => {
  if (!isMap(v)) return undefined;
  const name = text(v.label);
  const cpus = amount(v.cpus);
  const ramGb = amount(v.ramGb);
  const zones = list(v.mills)?.map(text);
  if (!name || cpus === undefined || ramGb === undefined || zones === undefined) return undefined;
  const price = amount(v.price) ?? 0;
  return {
    name,
    capacity: { cpus, gpus: amount(v.gpus) ?? 0, ramGb },
    cacheGb: amount(v.cacheGb) ?? 0,
    fetchGbPerS: amount(v.pullGbPerS) ?? 0,
    price,
    spotPrice: amount(v.spotPrice) ?? price,
    bootS: amount(v.bootS) ?? 0,
    zones: zones.filter((z): z is string => z !== undefined),
  };
};

export const parseMachineTypes = (body: unknown): readonly MachineType[] | undefined => {
  if (!isMap(body)) return undefined;
  const rows = list(body.frames)?.map(parseType);
  return rows?.filter((t): t is MachineType => t !== undefined);
};

const parseListed = (v: unknown): ListedMachine | undefined => {
  if (!isMap(v)) return undefined;
  const id = text(v.uid);
  const phase = (["starting", "running", "failed"] as const).find((s) => s === v.stage);
  if (!id || phase === undefined) return undefined;
  return {
    id: machineId(id),
    endpoint: text(v.endpoint) ?? "",
    type: text(v.frame) ?? "",
    zone: text(v.mill) ?? "",
    spot: v.remnant === true,
    phase,
    ageS: amount(v.heldS) ?? 0,
  };
};

export const parseMachineList = (
  body: unknown,
): { readonly machines: readonly ListedMachine[]; readonly more: boolean } | undefined => {
  if (!isMap(body)) return undefined;
  const rows = list(body.looms)?.map(parseListed);
  if (rows === undefined) return undefined;
  return {
    machines: rows.filter((m): m is ListedMachine => m !== undefined),
    more: body.hasNext === true,
  };
};

export const rentalBody = (r: RentalRequest): Fields => ({
  hire: r.name,
  frame: r.type,
  mill: r.zone,
  remnant: r.spot,
  count: r.count,
});

export const parseRentedMachines = (body: unknown): readonly MachineId[] | undefined => {
  if (!isMap(body)) return undefined;
  return list(body.looms)
    ?.filter((m): m is string => typeof m === "string")
    .map(machineId);
};

export const returnBody = (ids: readonly MachineId[]): Fields => ({ looms: ids });
export const listPath = (after: string | undefined): string =>
  `/machines?limit=${MAX_MACHINES_PER_LIST}${after === undefined ? "" : `&from=${after}`}`;
