import type { Revision, TeamName } from "@umberfold/ids";
import { parseSpan, type Span } from "@umberfold/spans";
import { type AcceptedJob, teamOfSpan } from "./records.js";
import type { Versioned } from "./versioned.js";

/** Teams that span several shards, and how many jobs were placed outside their team's home shard. */
export class SpanIndex {
  /** By team; a record whose value is undefined can't be read. */
  readonly records = new Map<TeamName, Versioned<Span | undefined>>();
  /** Rises with every change of spans and of teams' home shards. */
  version = 0;
  /** Live jobs whose records name a shard. */
  placedJobs = 0;

  /** `size` is how many shards there are: a record that names another is not believed. */
  constructor(private readonly size: number) {}

  put(name: string, value: unknown, rev: Revision): void {
    this.records.set(teamOfSpan(name), { value: parseSpan(value, this.size), rev });
    this.version++;
  }

  drop(name: string): void {
    this.records.delete(teamOfSpan(name));
    this.version++;
  }

  homesChanged(): void {
    this.version++;
  }

  /** A job's record was replaced; undefined stands for none. */
  jobChanged(before: AcceptedJob | undefined, after: AcceptedJob | undefined): void {
    if (before !== undefined && before.shard !== null) this.placedJobs--;
    if (after !== undefined && after.shard !== null) this.placedJobs++;
  }
}
