/**
 * The load that load spreading decides by: of a team in each shard, and of each owner.
 *
 * Values that the service computes from its replica for each decision; no state.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import type { Share, Span } from "@umberfold/spans";

/** What one team has in one shard. */
export interface ShardLoad {
  readonly shard: ShardId;
  /** Jobs that are neither finished nor cancelled. */
  readonly jobs: number;
  /** Open attempts. */
  readonly open: number;
  /** Tasks that wait for an attempt. */
  readonly waiting: number;
  /** The part of the team's quota that its open attempts take; 0 where the team has no limit. */
  readonly used: Share;
  /** The part that open attempts and waiting tasks would take together. */
  readonly demand: Share;
  /** The part that the largest waiting task would take. */
  readonly largest: Share;
  /** Processors that open and waiting tasks take, without those beyond the team's limit. */
  readonly wantedCpus: number;
  /** When the oldest job that waits there was accepted; infinity if none waits. */
  readonly oldest: number;
}

/** What one team has in all shards. */
export interface TeamLoad {
  readonly team: TeamName;
  readonly home: ShardId;
  /** Undefined while the team uses its home shard alone. */
  readonly span: Span | undefined;
  /** Only shards in which the team has anything. */
  readonly shards: ReadonlyMap<ShardId, ShardLoad>;
}

/** How much the owner of shards has to do. */
export interface OwnerLoad {
  /** The controller's label. */
  readonly owner: string;
  readonly shards: readonly ShardId[];
  /** Its machines, open attempts and waiting tasks together. */
  readonly units: number;
}

/** A team's open attempts and waiting tasks, over all shards. */
export const tasksOf = (load: TeamLoad): number => {
  let tasks = 0;
  for (const { open, waiting } of load.shards.values()) tasks += open + waiting;
  return tasks;
};

/** A team's waiting tasks, over all shards. */
export const waitingOf = (load: TeamLoad): number => {
  let tasks = 0;
  for (const { waiting } of load.shards.values()) tasks += waiting;
  return tasks;
};
