/**
 * The layout of the state store's keys. All keys are built and classified here.
 *
 * At startup, a controller scans all keys under `now/` and then watches them (see `replica.ts`).
 * Keys under `final/` are never deleted and are only read one at a time. The stored prefixes
 * `share/`, `hire/` and `live/` stand for shards, rental intents and accepted jobs. They are part
 * of the stored data and must not change.
 */
import {
  type ControllerLabel,
  type JobId,
  type ShardId,
  shardId,
  type TeamName,
  teamName,
} from "@umberfold/ids";

/** The prefix of all keys that a replica keeps a copy of. */
export const CURRENT_PREFIX = "now/";

const PREFIX_BY_KIND = {
  member: `${CURRENT_PREFIX}member/`,
  shard: `${CURRENT_PREFIX}share/`,
  work: `${CURRENT_PREFIX}work/`,
  fleet: `${CURRENT_PREFIX}fleet/`,
  rental: `${CURRENT_PREFIX}hire/`,
  gone: `${CURRENT_PREFIX}gone/`,
  live: `${CURRENT_PREFIX}live/`,
  span: `${CURRENT_PREFIX}span/`,
} as const;

type PrefixedKind = keyof typeof PREFIX_BY_KIND;

const PREFIXED_KINDS = Object.keys(PREFIX_BY_KIND) as readonly PrefixedKind[];

/** Builds the key of each kind of record. */
export const keys = {
  /** The controller that is the leader; deleted when its lease expires. */
  leader: `${CURRENT_PREFIX}leader`,
  /** The machine types that the cloud offers. */
  types: `${CURRENT_PREFIX}types`,
  /** The home shard of each team. */
  teams: `${CURRENT_PREFIX}teams`,
  /** A live controller; deleted when its lease expires. */
  member: (label: ControllerLabel): string => PREFIX_BY_KIND.member + label,
  /** The owner of a shard. */
  shard: (shard: ShardId): string => PREFIX_BY_KIND.shard + shard,
  /** A job page of a shard. Job pages are never deleted, so their numbers can be reused. */
  work: (shard: ShardId, page: number): string => `${PREFIX_BY_KIND.work}${shard}/${page}`,
  /** A machine page of a shard. Its name begins with a revision of its writer; never reused. */
  fleet: (shard: ShardId, name: string): string => `${PREFIX_BY_KIND.fleet}${shard}/${name}`,
  /** Machines that the cloud has reported gone. */
  gone: (name: string): string => PREFIX_BY_KIND.gone + name,
  /** A rental intent. */
  rental: (name: string): string => PREFIX_BY_KIND.rental + name,
  /** An accepted job that hasn't ended. */
  live: (id: JobId): string => PREFIX_BY_KIND.live + id,
  /**
   * The shards that a team spans; absent for a team that is only in its home shard. The name is
   * percent-encoded because a team's name may contain spaces and a key may not.
   */
  span: (team: TeamName): string => PREFIX_BY_KIND.span + encodeURIComponent(team),
  /** The final record of a job that has ended. */
  final: (id: JobId): string => `final/${id}`,
} as const;

/** The kind of a record; `other` for keys that this version doesn't know. */
export type KeyKind = PrefixedKind | "leader" | "types" | "teams" | "other";

/** A key's kind, and its part after the prefix of the kind. */
export interface ClassifiedKey {
  readonly kind: KeyKind;
  /** Empty for kinds that have only one record; the whole key for kind `other`. */
  readonly name: string;
}

/** Splits a key into its kind and its name. */
export const classifyKey = (key: string): ClassifiedKey => {
  for (const kind of PREFIXED_KINDS) {
    const prefix = PREFIX_BY_KIND[kind];
    if (key.startsWith(prefix)) return { kind, name: key.slice(prefix.length) };
  }
  if (key === keys.leader) return { kind: "leader", name: "" };
  if (key === keys.types) return { kind: "types", name: "" };
  if (key === keys.teams) return { kind: "teams", name: "" };
  return { kind: "other", name: key };
};

/** Returns the shard of a job page or machine page from the name of its key, `<shard>/<page>`. */
export const shardOfPage = (name: string): ShardId =>
  shardId(Number(name.slice(0, name.indexOf("/"))));

/**
 * Returns the team of a span record. A name that isn't valid percent-encoding, which this scheduler
 * never writes, is used undecoded; no team has such a name.
 */
export const teamOfSpan = (name: string): TeamName => {
  try {
    return teamName(decodeURIComponent(name));
  } catch {
    return teamName(name);
  }
};
