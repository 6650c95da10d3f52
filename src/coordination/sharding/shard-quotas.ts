import type { ShardId, TeamName } from "@umberfold/ids";
import { usableShare, WHOLE } from "@umberfold/spans";
import type { Team } from "../../config/settings.js";
import type { Resources } from "../../protocol/jobs.js";
import type { Replica } from "../../storage/replica.js";

/** Sums of decimals drift, and shares of a limit are rounded: by less than any task needs. */
const LIMIT_TOLERANCE = 1e-9;
const SHARE_TOLERANCE = 1e-8;

const scaled = (most: number, part: number): number =>
  most === Number.POSITIVE_INFINITY ? most : most * part;

/**
 * Limits and guarantees of teams as they hold for one shard. A team without a span has all of its
 * quota in its home shard and nothing elsewhere. One whose span can't be read has nothing anywhere:
 * others may hold any part of it.
 */
export class ShardQuotas {
  #version = -1;
  readonly #byShard = new Map<ShardId, ReadonlyMap<TeamName, Team>>();

  constructor(
    private readonly replica: Replica,
    private readonly teams: ReadonlyMap<TeamName, Team>,
  ) {}

  /** Whether any team has anything outside its home shard. */
  get divided(): boolean {
    return this.replica.spans.records.size > 0 || this.replica.spans.placedJobs > 0;
  }

  teamsIn(shard: ShardId): ReadonlyMap<TeamName, Team> {
    if (!this.divided) return this.teams;
    if (this.#version !== this.replica.spans.version) {
      this.#version = this.replica.spans.version;
      this.#byShard.clear();
    }
    const known = this.#byShard.get(shard);
    if (known !== undefined) return known;
    const out = new Map<TeamName, Team>();
    for (const [name, team] of this.teams) {
      const part = this.fractionOf(name, shard);
      out.set(name, {
        name,
        cpus: team.cpus * part,
        gpus: team.gpus * part,
        cpusMax: scaled(team.cpusMax, part),
        gpusMax: scaled(team.gpusMax, part),
      });
    }
    this.#byShard.set(shard, out);
    return out;
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

  /** What part of a team's quota the shard may use. */
  fractionOf(team: TeamName, shard: ShardId): number {
    const home = this.replica.teams?.value.get(team);
    const record = this.replica.spans.records.get(team);
    if (record === undefined) return home === shard ? 1 : 0;
    const span = record.value;
    // A span of another home was written by somebody else: it says nothing of this team.
    return span === undefined || span.home !== home ? 0 : usableShare(span, shard) / WHOLE;
  }
}
