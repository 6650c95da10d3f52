/**
 * Teams that span several shards, as their records (`now/span/`) say, and how many jobs were placed
 * outside their team's home shard. Changed by the replica alone; the codec of a span is in
 * `@umberfold/spans`.
 */
import type { Revision, TeamName } from "@umberfold/ids";
import { parseSpan, type Span } from "@umberfold/spans";
import type { AcceptedJob } from "./job-records.js";
import { teamOfSpan } from "./keys.js";
import type { Versioned } from "./versioned.js";

/** The spans of all teams. */
export class SpanIndex {
  /** By team; a record whose value is undefined can't be read. */
  readonly records = new Map<TeamName, Versioned<Span | undefined>>();
  /** Rises with every change of spans and of teams' home shards. */
  version = 0;
  /** Live jobs whose records name a shard. */
  placedJobs = 0;

  /** A span that names a shard not below `shardCount` can't be read. */
  constructor(private readonly shardCount: number) {}

  /** A span record was written; `name` is what follows the prefix in its key. */
  put(name: string, value: unknown, rev: Revision): void {
    this.records.set(teamOfSpan(name), { value: parseSpan(value, this.shardCount), rev });
    this.version++;
  }

  /** A span record was deleted: its team is in its home shard alone. */
  drop(name: string): void {
    this.records.delete(teamOfSpan(name));
    this.version++;
  }

  /** The record of teams' home shards changed. */
  homeShardsChanged(): void {
    this.version++;
  }

  /** A job's record was replaced; undefined stands for none. */
  jobChanged(before: AcceptedJob | undefined, after: AcceptedJob | undefined): void {
    if (before !== undefined && before.shard !== null) this.placedJobs--;
    if (after !== undefined && after.shard !== null) this.placedJobs++;
  }
}
