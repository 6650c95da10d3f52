/**
 * The records of which there is one for the whole cluster, both written by the leader: the machine
 * types that the cloud offers (`now/types`) and the home shard of each team (`now/teams`).
 */
import { type ShardId, shardId, type TeamName, teamName } from "@umberfold/ids";
import { amount, count, isMap, list, text } from "../protocol/cbor.js";
import type { MachineType } from "../protocol/cloud.js";

/** The stored name of each field of a machine type, in the order in which they are stored. */
const FIELD = {
  name: "l",
  /** A list: processors, devices, memory in GB. */
  capacity: "u",
  cacheGb: "c",
  fetchGbPerS: "f",
  price: "p",
  spotPrice: "s",
  bootS: "b",
  zones: "z",
} as const;

/** The stored form of the machine types: a list. */
export const encodeMachineTypes = (types: readonly MachineType[]): unknown =>
  types.map((type) => ({
    [FIELD.name]: type.name,
    [FIELD.capacity]: [type.capacity.cpus, type.capacity.gpus, type.capacity.ramGb],
    [FIELD.cacheGb]: type.cacheGb,
    [FIELD.fetchGbPerS]: type.fetchGbPerS,
    [FIELD.price]: type.price,
    [FIELD.spotPrice]: type.spotPrice,
    [FIELD.bootS]: type.bootS,
    [FIELD.zones]: type.zones,
  }));

/** Rows that are no maps are ignored; a field that can't be read is empty or 0. */
export const parseMachineTypesRecord = (value: unknown): readonly MachineType[] =>
  (list(value) ?? []).flatMap((row) => {
    if (!isMap(row)) return [];
    const [cpus, gpus, ramGb] = list(row[FIELD.capacity])?.map(amount) ?? [];
    return [
      {
        name: text(row[FIELD.name]) ?? "",
        capacity: { cpus: cpus ?? 0, gpus: gpus ?? 0, ramGb: ramGb ?? 0 },
        cacheGb: amount(row[FIELD.cacheGb]) ?? 0,
        fetchGbPerS: amount(row[FIELD.fetchGbPerS]) ?? 0,
        price: amount(row[FIELD.price]) ?? 0,
        spotPrice: amount(row[FIELD.spotPrice]) ?? 0,
        bootS: amount(row[FIELD.bootS]) ?? 0,
        zones: (list(row[FIELD.zones]) ?? []).filter(
          (zone): zone is string => typeof zone === "string",
        ),
      },
    ];
  });

/** The stored form of teams' home shards: a map by team name, in the map's order. */
export const encodeTeams = (homes: ReadonlyMap<TeamName, ShardId>): unknown =>
  Object.fromEntries(homes);

/** Teams whose shard can't be read are left out. */
export const parseTeams = (value: unknown): ReadonlyMap<TeamName, ShardId> => {
  const homes = new Map<TeamName, ShardId>();
  if (!isMap(value)) return homes;
  for (const [name, stored] of Object.entries(value)) {
    const shard = count(stored);
    if (shard !== undefined) homes.set(teamName(name), shardId(shard));
  }
  return homes;
};
