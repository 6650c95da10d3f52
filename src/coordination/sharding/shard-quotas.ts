/**
 * Computes how much of each team's quota one shard may use, from the spans in the replica. Holds a
 * cache of the results, which is cleared whenever a span changes. The span records themselves are
 * written by the `load-spread` folder.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import { FULL_SHARE, usableShare } from "@umberfold/spans";
import type { Team } from "../../config/settings.js";
import type { Resources } from "../../protocol/jobs.js";
import type { Replica } from "../../storage/replica.js";

/**
 * Tolerance for rounding errors in sums of resources, in processors or accelerators; smaller than
 * what any task needs.
 */
const ABSOLUTE_TOLERANCE = 1e-9;
/**
 * Tolerance for the rounding of shares, as a fraction of the team's whole limit; smaller than what
 * any task needs.
 */
const RELATIVE_TOLERANCE = 1e-8;

/** A fraction of a limit. No limit (infinity) stays so, because 0 times infinity would be NaN. */
const fractionOfLimit = (limit: number, fraction: number): number =>
  limit === Number.POSITIVE_INFINITY ? limit : limit * fraction;

/**
 * The limits and guarantees of teams within one shard. A team without a span has its whole quota in
 * its home shard and none elsewhere. The quota of a team with a span is divided between several
 * shards, each of which holds its share in escrow. A team whose span can't be read has no quota in
 * any shard, because the other shards may hold any part of it.
 */
export class ShardQuotas {
  /** The version of the spans from which the cache was computed. */
  #cachedVersion = -1;
  readonly #teamsByShard = new Map<ShardId, ReadonlyMap<TeamName, Team>>();

  /** @param teams the teams of the settings, with their whole quotas */
  constructor(
    private readonly replica: Replica,
    private readonly teams: ReadonlyMap<TeamName, Team>,
  ) {}

  /**
   * Whether any team has a span, or the record of any live job names the shard it was placed in.
   */
  get hasDividedQuotas(): boolean {
    return this.replica.spans.records.size > 0 || this.replica.spans.placedJobs > 0;
  }

  /** All teams, each with the part of its quota that the shard may use. */
  teamsForShard(shard: ShardId): ReadonlyMap<TeamName, Team> {
    if (!this.hasDividedQuotas) return this.teams;
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

  /**
   * The maximum that a team's open attempts in a shard may use: its limit there plus tolerances.
   *
   * @param team the team as `teamsForShard` returned it
   */
  maxUsageOf(team: Team): Pick<Resources, "cpus" | "gpus"> {
    const undividedTeam = this.teams.get(team.name) ?? team;
    const shareTolerance = (limit: number): number =>
      this.hasDividedQuotas ? RELATIVE_TOLERANCE * limit : 0;
    return {
      cpus: team.cpusMax + ABSOLUTE_TOLERANCE + shareTolerance(undividedTeam.cpusMax),
      gpus: team.gpusMax + ABSOLUTE_TOLERANCE + shareTolerance(undividedTeam.gpusMax),
    };
  }

  /** The fraction of a team's quota that the shard may use, from 0 to 1. */
  fractionOf(team: TeamName, shard: ShardId): number {
    const home = this.replica.teams?.value.get(team);
    const record = this.replica.spans.records.get(team);
    if (record === undefined) return home === shard ? 1 : 0;
    const span = record.value;
    // A span with another home shard is invalid: it wasn't written for the team's current one.
    return span === undefined || span.home !== home ? 0 : usableShare(span, shard) / FULL_SHARE;
  }
}
