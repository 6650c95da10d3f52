/**
 * The quotas of teams as they hold for one shard, by the spans of the replica. Owns a cache of them,
 * which is dropped whenever a span changes; the records themselves are the load-spread part's.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import { usableShare, WHOLE } from "@umberfold/spans";
import type { Team } from "../../config/settings.js";
import type { Resources } from "../../protocol/jobs.js";
import type { Replica } from "../../storage/replica.js";

/** Sums of decimals drift by less than any task needs. */
const LIMIT_TOLERANCE = 1e-9;
/** Shares of a limit are rounded, in proportion to it, by less than any task needs. */
const SHARE_TOLERANCE = 1e-8;

/** A fraction of a limit. None of it of no limit at all would be NaN: infinity stays infinity. */
const fractionOfLimit = (limit: number, fraction: number): number =>
  limit === Number.POSITIVE_INFINITY ? limit : limit * fraction;

/**
 * Limits and guarantees of teams as they hold for one shard. A team without a span has all of its
 * quota in its home shard and nothing elsewhere; that of a team with a span is held in escrow by
 * several shards. One whose span can't be read has nothing anywhere: others may hold any part of it.
 */
export class ShardQuotas {
  /** The version of the spans that the cache follows from. */
  #cachedVersion = -1;
  readonly #teamsByShard = new Map<ShardId, ReadonlyMap<TeamName, Team>>();

  /** `teams` are those of the settings, with their whole quota. */
  constructor(
    private readonly replica: Replica,
    private readonly teams: ReadonlyMap<TeamName, Team>,
  ) {}

  /** Whether any team has anything outside its home shard. */
  get divided(): boolean {
    return this.replica.spans.records.size > 0 || this.replica.spans.placedJobs > 0;
  }

  /** All teams, with that part of their quota that the shard may use. */
  teamsIn(shard: ShardId): ReadonlyMap<TeamName, Team> {
    if (!this.divided) return this.teams;
    if (this.#cachedVersion !== this.replica.spans.version) {
      this.#cachedVersion = this.replica.spans.version;
      this.#teamsByShard.clear();
    }
    const cached = this.#teamsByShard.get(shard);
    if (cached !== undefined) return cached;
    const teams = new Map<TeamName, Team>();
    for (const [name, team] of this.teams) {
      const fraction = this.fractionOf(name, shard);
      teams.set(name, {
        name,
        cpus: team.cpus * fraction,
        gpus: team.gpus * fraction,
        cpusMax: fractionOfLimit(team.cpusMax, fraction),
        gpusMax: fractionOfLimit(team.gpusMax, fraction),
      });
    }
    this.#teamsByShard.set(shard, teams);
    return teams;
  }

  /** The most that a team's open attempts may take, by its limit as it holds for a shard. */
  maxUseOf(team: Team): Pick<Resources, "cpus" | "gpus"> {
    const whole = this.teams.get(team.name) ?? team;
    const rounding = (limit: number): number => (this.divided ? SHARE_TOLERANCE * limit : 0);
    return {
      cpus: team.cpusMax + LIMIT_TOLERANCE + rounding(whole.cpusMax),
      gpus: team.gpusMax + LIMIT_TOLERANCE + rounding(whole.gpusMax),
    };
  }

  /** What fraction of a team's quota the shard may use, from 0 to 1. */
  fractionOf(team: TeamName, shard: ShardId): number {
    const home = this.replica.teams?.value.get(team);
    const record = this.replica.spans.records.get(team);
    if (record === undefined) return home === shard ? 1 : 0;
    const span = record.value;
    // A span of another home was not written for this team as it is assigned: it proves nothing.
    return span === undefined || span.home !== home ? 0 : usableShare(span, shard) / WHOLE;
  }
}
