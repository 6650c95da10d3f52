/** Converts resources to fractions of a team's quota, and fractions to the shares of spans. */
import { FULL_SHARE, type Share, share } from "@umberfold/spans";
import type { Team } from "../../config/settings.js";
import type { Resources } from "../../protocol/jobs.js";

const fractionOf = (amount: number, limit: number): number =>
  limit === Number.POSITIVE_INFINITY || limit <= 0 ? 0 : amount / limit;

/**
 * Returns the larger of the fractions that the resources use of a team's CPU and GPU limits. A
 * limit that is infinite or 0 counts as 0.
 */
export const quotaFraction = (team: Team, resources: Pick<Resources, "cpus" | "gpus">): number =>
  Math.max(fractionOf(resources.cpus, team.cpusMax), fractionOf(resources.gpus, team.gpusMax));

/** Converts a fraction of a quota to a share. The rounding error is less than any task needs. */
export const quotaShare = (fraction: number): Share =>
  share(Math.round(Math.max(0, fraction) * FULL_SHARE));
