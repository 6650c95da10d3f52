/** Amounts of a team's quota, as fractions of it and as the shares that spans divide. Pure. */
import { FULL_SHARE, type Share, share } from "@umberfold/spans";
import type { Team } from "../../config/settings.js";
import type { Resources } from "../../protocol/jobs.js";

const fractionOf = (amount: number, limit: number): number =>
  limit === Number.POSITIVE_INFINITY || limit <= 0 ? 0 : amount / limit;

/** What fraction of a team's quota these resources take; 0 where the team has no limit. */
export const quotaFraction = (team: Team, resources: Pick<Resources, "cpus" | "gpus">): number =>
  Math.max(fractionOf(resources.cpus, team.cpusMax), fractionOf(resources.gpus, team.gpusMax));

/** A fraction of a quota share; what rounding takes away is less than any task needs. */
export const quotaShare = (fraction: number): Share =>
  share(Math.round(Math.max(0, fraction) * FULL_SHARE));
