import type { Objective } from "../config/settings.js";
import type { JobSpec } from "../protocol/jobs.js";

/** Points in a job's life, in seconds after its submission, at which an objective is decided. */
export interface Target {
  readonly kind: "start" | "finish";
  readonly withinS: number;
}

type TargetSpec = Pick<JobSpec, "jobClass" | "deadlineS">;

/** Targets of a spec, first those beyond a guarantee, then those within. */
type KnownTargets = [readonly Target[] | undefined, readonly Target[] | undefined];

const known = new WeakMap<readonly Objective[], WeakMap<TargetSpec, KnownTargets>>();

/**
 * What the settings (and a job's own deadline) ask of one job, soonest first. A job is looked at
 * in many rounds, so its targets are worked out once for each pair of objectives and spec.
 */
export const targetsOf = (
  spec: TargetSpec,
  objectives: readonly Objective[],
  withinGuarantee: boolean,
): readonly Target[] => {
  let bySpec = known.get(objectives);
  if (bySpec === undefined) {
    bySpec = new WeakMap();
    known.set(objectives, bySpec);
  }
  let pair = bySpec.get(spec);
  if (pair === undefined) {
    pair = [undefined, undefined];
    bySpec.set(spec, pair);
  }
  const at = withinGuarantee ? 1 : 0;
  const targets = pair[at] ?? workOutTargets(spec, objectives, withinGuarantee);
  pair[at] = targets;
  return targets;
};

const workOutTargets = (
  spec: TargetSpec,
  objectives: readonly Objective[],
  withinGuarantee: boolean,
): readonly Target[] => {
  const out: Target[] = [];
  for (const o of objectives) {
    const mine = o.jobClass === null || o.jobClass === spec.jobClass;
    if (mine && o.kind === "deadline" && spec.deadlineS !== null && o.times !== null)
      out.push({ kind: "finish", withinS: spec.deadlineS * o.times });
    if (!mine || o.withinS === null) continue;
    if (o.kind === "wait" || (o.kind === "guarantee" && withinGuarantee))
      out.push({ kind: "start", withinS: o.withinS });
    if (o.kind === "finished") out.push({ kind: "finish", withinS: o.withinS });
  }
  if (spec.deadlineS !== null) out.push({ kind: "finish", withinS: spec.deadlineS });
  return out.sort((a, b) => a.withinS - b.withinS);
};

/**
 * Seconds until the job's next task must start for the next objective that can still be met.
 * One that has passed no longer pulls: the work it pulled for is late whatever runs first.
 */
export const slackS = (targets: readonly Target[], ageS: number, runS: number): number => {
  let slack = Number.POSITIVE_INFINITY;
  for (const t of targets) {
    const left = t.withinS - ageS - (t.kind === "finish" ? runS : 0);
    if (left >= 0 && left < slack) slack = left;
  }
  return slack;
};

/** Seconds until the job's tasks should run for the next such objective that can still be met. */
export const startSlackS = (targets: readonly Target[], ageS: number): number => {
  let left = Number.POSITIVE_INFINITY;
  for (const t of targets)
    if (t.kind === "start" && t.withinS >= ageS) left = Math.min(left, t.withinS - ageS);
  return left;
};

/** How long a class's tasks may be in the system, on the whole, for its objectives to be met. */
export const patienceS = (targets: readonly Target[], runS: number, part: number): number => {
  let most = Number.POSITIVE_INFINITY;
  for (const t of targets) {
    const wait = t.kind === "finish" ? t.withinS - runS : t.withinS;
    most = Math.min(most, Math.max(0, wait) * part);
  }
  return most === Number.POSITIVE_INFINITY ? runS : most;
};

/**
 * The window a job's work left should be done in: a part of the time until its next objective that
 * can still be met. It closes as the job ages, so a backlog that is getting late asks for more.
 */
export const windowS = (
  targets: readonly Target[],
  ageS: number,
  runS: number,
  part: number,
): number => {
  const slack = slackS(targets, ageS, runS);
  if (slack === Number.POSITIVE_INFINITY)
    return Math.max(MIN_WINDOW_S, patienceS(targets, runS, part));
  return Math.max(MIN_WINDOW_S, slack * part);
};

/** Below this, all that waits is wanted at once anyway. */
const MIN_WINDOW_S = 1;
