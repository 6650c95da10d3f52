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
  readonly jobCount: number;
  /** Open attempts. */
  readonly openAttemptCount: number;
  /** Tasks that wait for an attempt. */
  readonly waitingTaskCount: number;
  /** The part of the team's quota that its open attempts take; 0 where the team has no limit. */
  readonly usedShare: Share;
  /** The part that open attempts and waiting tasks would take together. */
  readonly demandShare: Share;
  /** The part that the largest waiting task would take. */
  readonly largestTaskShare: Share;
  /** Processors that open and waiting tasks take, without those beyond the team's limit. */
  readonly demandCpus: number;
  /** When the oldest job that waits there was accepted; infinity if none waits. */
  readonly oldestAcceptedAt: number;
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
  readonly loadUnits: number;
}

/** A team's open attempts and waiting tasks, over all shards. */
export const taskCountOf = (load: TeamLoad): number => {
  let tasks = 0;
  for (const { openAttemptCount, waitingTaskCount } of load.shards.values())
    tasks += openAttemptCount + waitingTaskCount;
  return tasks;
};

/** A team's waiting tasks, over all shards. */
export const waitingTaskCountOf = (load: TeamLoad): number => {
  let tasks = 0;
  for (const { waitingTaskCount } of load.shards.values()) tasks += waitingTaskCount;
  return tasks;
};
