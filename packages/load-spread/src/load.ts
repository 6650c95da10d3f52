import type { ShardId, TeamName } from "@umberfold/ids";
import type { Share, Span } from "@umberfold/spans";

/** What one team has in one shard. */
export interface ShardLoad {
  readonly shard: ShardId;
  /** Jobs that are neither over nor cancelled. */
  readonly jobs: number;
  /** Open attempts, and tasks that wait for one. */
  readonly open: number;
  readonly waiting: number;
  /** The part of the team's quota that its open attempts take; 0 where the team has no limit. */
  readonly used: Share;
  /** The part that open and waiting tasks would take together, and the largest waiting task. */
  readonly demand: Share;
  readonly largest: Share;
  /** Processors that open and waiting tasks take, those beyond the team's limit left out. */
  readonly wantedCpus: number;
  /** When the oldest job that waits there was accepted; infinity if none waits. */
  readonly oldest: number;
}

/** What one team has in all shards. */
export interface TeamLoad {
  readonly team: TeamName;
  readonly home: ShardId;
  /** Undefined while the team is in its home shard alone. */
  readonly span: Span | undefined;
  /** Only shards in which it has anything. */
  readonly shards: ReadonlyMap<ShardId, ShardLoad>;
}

/** How much the owner of a shard has to do: its machines, open attempts and waiting tasks. */
export interface OwnerLoad {
  readonly owner: string;
  readonly shards: readonly ShardId[];
  readonly units: number;
}

export const tasksOf = (load: TeamLoad): number => {
  let tasks = 0;
  for (const s of load.shards.values()) tasks += s.open + s.waiting;
  return tasks;
};

export const waitingOf = (load: TeamLoad): number => {
  let waiting = 0;
  for (const s of load.shards.values()) waiting += s.waiting;
  return waiting;
};
