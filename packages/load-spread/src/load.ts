/**
 * The load on which load spreading bases its decisions: of a team in each shard, and of each owner.
 *
 * The service computes these values from its replica before each decision. Holds no state.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import type { Share, Span } from "@umberfold/spans";

/** The jobs and tasks of one team in one shard. */
export interface ShardLoad {
  readonly shard: ShardId;
  /** The number of jobs that are neither finished nor cancelled. */
  readonly jobCount: number;
  /** The number of open attempts. */
  readonly openAttemptCount: number;
  /** The number of tasks that wait for an attempt. */
  readonly waitingTaskCount: number;
  /** The share of the team's quota that its open attempts use; 0 if the team has no limit. */
  readonly usedShare: Share;
  /** The share of the quota that open attempts and waiting tasks would use together. */
  readonly demandShare: Share;
  /** The share of the quota that the largest waiting task would use. */
  readonly largestTaskShare: Share;
  /** The CPUs that open attempts and waiting tasks need, scaled down to the team's limit. */
  readonly demandCpus: number;
  /**
   * When the oldest waiting job was accepted, in milliseconds since 1970; infinity if none waits.
   */
  readonly oldestAcceptedAt: number;
}

/** The jobs and tasks of one team in all shards. */
export interface TeamLoad {
  readonly team: TeamName;
  readonly home: ShardId;
  /** Undefined while the team uses its home shard alone, or if the record is unreadable. */
  readonly span: Span | undefined;
  /** Contains only shards in which the team has jobs or open attempts. */
  readonly shards: ReadonlyMap<ShardId, ShardLoad>;
}

/** The load of one controller over all shards that it owns. */
export interface OwnerLoad {
  /** The controller's label. */
  readonly owner: string;
  readonly shards: readonly ShardId[];
  /** The sum of its machines, open attempts and waiting tasks. */
  readonly loadUnits: number;
}

/** Returns the number of a team's open attempts and waiting tasks over all shards. */
export const taskCountOf = (load: TeamLoad): number => {
  let tasks = 0;
  for (const { openAttemptCount, waitingTaskCount } of load.shards.values())
    tasks += openAttemptCount + waitingTaskCount;
  return tasks;
};

/** Returns the number of a team's waiting tasks over all shards. */
export const waitingTaskCountOf = (load: TeamLoad): number => {
  let tasks = 0;
  for (const { waitingTaskCount } of load.shards.values()) tasks += waitingTaskCount;
  return tasks;
};
