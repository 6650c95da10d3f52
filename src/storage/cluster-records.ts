/**
 * Codecs of the two cluster-wide records, which only the leader writes: the machine types that the
 * cloud offers (`now/types`) and the home shard of each team (`now/teams`).
 */
import { type ShardId, shardId, type TeamName, teamName } from "@umberfold/ids";
import { amount, count, isMap, list, text } from "../protocol/cbor.js";
import type { MachineType } from "../protocol/cloud.js";

/** The stored name of each field of a machine type, in the order in which they are stored. */
const FIELD = {
  name: "l",
  /** A list: CPUs, GPUs, memory in GB. */
  capacity: "u",
  cacheGb: "c",
  fetchGbPerS: "f",
  price: "p",
  spotPrice: "s",
  bootS: "b",
  zones: "z",
} as const;

/** Returns the stored form of the machine types, a list of maps. */
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

/**
 * Parses the stored machine types. Rows that aren't maps are skipped; a missing or invalid field
 * becomes an empty string, an empty list or 0.
 */
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

/** Returns the stored form of the teams' home shards: a map by team name, in the same order. */
export const encodeTeams = (homes: ReadonlyMap<TeamName, ShardId>): unknown =>
  Object.fromEntries(homes);

/** Parses the teams' home shards; teams with an invalid shard number are skipped. */
export const parseTeams = (value: unknown): ReadonlyMap<TeamName, ShardId> => {
  const homes = new Map<TeamName, ShardId>();
  if (!isMap(value)) return homes;
  for (const [name, stored] of Object.entries(value)) {
    const shard = count(stored);
    if (shard !== undefined) homes.set(teamName(name), shardId(shard));
  }
  return homes;
};
