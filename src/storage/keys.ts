/**
 * The layout of the state store's keys: the one place that knows how a key is spelt.
 *
 * All keys under `now/` are scanned at a start and watched afterwards (see `replica.ts`); those
 * under `final/` are kept for good and only ever read one by one. The stored words `share/`,
 * `hire/` and `live/` stand for shards, rental intents and accepted jobs: they are part of the
 * stored data and must not change.
 */
import {
  type ControllerLabel,
  type JobId,
  type ShardId,
  shardId,
  type TeamName,
  teamName,
} from "@umberfold/ids";

/** The prefix of all keys that a replica mirrors. */
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

/** The key of each record. */
export const keys = {
  /** The controller that leads; tied to its lease. */
  leader: `${CURRENT_PREFIX}leader`,
  /** The machine types that the cloud offers. */
  types: `${CURRENT_PREFIX}types`,
  /** The home shard of each team. */
  teams: `${CURRENT_PREFIX}teams`,
  /** A live controller; tied to its lease. */
  member: (label: ControllerLabel): string => PREFIX_BY_KIND.member + label,
  /** The owner of a shard. */
  shard: (shard: ShardId): string => PREFIX_BY_KIND.shard + shard,
  /** Progress of jobs of a shard. Such a page is never deleted, so its name may be used again. */
  work: (shard: ShardId, page: number): string => `${PREFIX_BY_KIND.work}${shard}/${page}`,
  /** Machines of a shard. Its name begins with a revision of its writer's and is never reused. */
  fleet: (shard: ShardId, name: string): string => `${PREFIX_BY_KIND.fleet}${shard}/${name}`,
  /** Machines that the cloud says are gone. */
  gone: (name: string): string => PREFIX_BY_KIND.gone + name,
  /** A rental intent. */
  rental: (name: string): string => PREFIX_BY_KIND.rental + name,
  /** An accepted job that is not over. */
  live: (id: JobId): string => PREFIX_BY_KIND.live + id,
  /** The shards that a team spans; absent for most. A team's name may hold spaces, a key may not. */
  span: (team: TeamName): string => PREFIX_BY_KIND.span + encodeURIComponent(team),
  /** What remains of a job that is over. */
  final: (id: JobId): string => `final/${id}`,
} as const;

/** Which record a key names; `other` for keys that this version does not know. */
export type KeyKind = PrefixedKind | "leader" | "types" | "teams" | "other";

/** A key's kind, and what follows its prefix: empty for the records that stand alone. */
export interface ClassifiedKey {
  readonly kind: KeyKind;
  readonly name: string;
}

/** Tells what a key names; a key of no known kind is its own name. */
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

/** The shard of a job page or a machine page, by its name within its kind (`<shard>/<page>`). */
export const shardOfPage = (name: string): ShardId =>
  shardId(Number(name.slice(0, name.indexOf("/"))));

/**
 * The team of a span record. A foreign key's name may not be a valid encoding: it then stands for
 * itself, which no team is called.
 */
export const teamOfSpan = (name: string): TeamName => {
  try {
    return teamName(decodeURIComponent(name));
  } catch {
    return teamName(name);
  }
};
