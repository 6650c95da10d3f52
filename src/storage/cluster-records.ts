import { type ShardId, shardId, type TeamName, teamName } from "@umberfold/ids";
import { amount, count, isMap, list, text } from "../protocol/cbor.js";
import type { MachineType } from "../protocol/cloud.js";

/** Records of the whole cluster, of which there is one each: machine types, and teams' home shards. */
export const encodeMachineTypes = (types: readonly MachineType[]): unknown =>
  types.map((t) => ({
    l: t.name,
    u: [t.capacity.cpus, t.capacity.gpus, t.capacity.ramGb],
    c: t.cacheGb,
    f: t.fetchGbPerS,
    p: t.price,
    s: t.spotPrice,
    b: t.bootS,
    z: t.zones,
  }));

export const parseMachineTypesRecord = (v: unknown): readonly MachineType[] =>
  (list(v) ?? []).flatMap((row) => {
    if (!isMap(row)) return [];
    const u = list(row.u)?.map(amount) ?? [];
    return [
      {
        name: text(row.l) ?? "",
        capacity: { cpus: u[0] ?? 0, gpus: u[1] ?? 0, ramGb: u[2] ?? 0 },
        cacheGb: amount(row.c) ?? 0,
        fetchGbPerS: amount(row.f) ?? 0,
        price: amount(row.p) ?? 0,
        spotPrice: amount(row.s) ?? 0,
        bootS: amount(row.b) ?? 0,
        zones: (list(row.z) ?? []).filter((z): z is string => typeof z === "string"),
      },
    ];
  });

export const encodeTeams = (teams: ReadonlyMap<TeamName, ShardId>): unknown =>
  Object.fromEntries(teams);

export const parseTeams = (v: unknown): ReadonlyMap<TeamName, ShardId> => {
  const out = new Map<TeamName, ShardId>();
  if (!isMap(v)) return out;
  for (const [name, n] of Object.entries(v)) {
    const shard = count(n);
    if (shard !== undefined) out.set(teamName(name), shardId(shard));
  }
  return out;
};
