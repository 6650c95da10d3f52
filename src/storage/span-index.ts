/**
 * Index of the teams that span several shards (records under `now/span/`), and the number of live
 * jobs that were placed outside their team's home shard. Only the replica modifies it. The codec of
 * a span is in `@umberfold/spans`.
 */
import type { Revision, TeamName } from "@umberfold/ids";
import { parseSpan, type Span } from "@umberfold/spans";
import type { AcceptedJob } from "./job-records.js";
import { teamOfSpan } from "./keys.js";
import type { Versioned } from "./versioned.js";

/** The spans of all teams. */
export class SpanIndex {
  /** Span records by team; the value is undefined if the record is invalid. */
  readonly records = new Map<TeamName, Versioned<Span | undefined>>();
  /** Incremented on every change of a span or of the teams' home shards. */
  version = 0;
  /** The number of live jobs whose record names a shard, that is, outside the home shard. */
  placedJobs = 0;

  /** `shardCount` is the number of shards; a span with a shard number beyond it is invalid. */
  constructor(private readonly shardCount: number) {}

  /** Applies a written span record; `name` is the part of its key after the prefix. */
  put(name: string, value: unknown, rev: Revision): void {
    this.records.set(teamOfSpan(name), { value: parseSpan(value, this.shardCount), rev });
    this.version++;
  }

  /** Applies the deletion of a span record: its team is then only in its home shard. */
  drop(name: string): void {
    this.records.delete(teamOfSpan(name));
    this.version++;
  }

  /** Called when the record of the teams' home shards has changed. */
  homeShardsChanged(): void {
    this.version++;
  }

  /** Called when a job's record has changed; undefined stands for a record that doesn't exist. */
  jobChanged(before: AcceptedJob | undefined, after: AcceptedJob | undefined): void {
    if (before !== undefined && before.shard !== null) this.placedJobs--;
    if (after !== undefined && after.shard !== null) this.placedJobs++;
  }
}
