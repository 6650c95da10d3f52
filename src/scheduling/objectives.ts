/**
 * What the service-level objectives ask of one job: the points in time at which they are decided,
 * and how much time they leave.
 *
 * State: a cache of the targets by objectives and job spec, both of which never change once they
 * are read; entries go with their keys. All times are in seconds.
 */
import type { Objective } from "../config/settings.js";
import type { JobSpec } from "../protocol/jobs.js";

/** A point in a job's life at which an objective is decided. */
export interface Target {
  /** Whether a task must have started, or the job must have finished, by then. */
  readonly kind: "start" | "finish";
  /** Seconds after the job's submission. */
  readonly withinS: number;
}

type TargetSpec = Pick<JobSpec, "jobClass" | "deadlineS">;

/** The targets of one spec, depending on whether its job is within its team's guarantee. */
interface CachedTargets {
  beyondGuarantee?: readonly Target[];
  withinGuarantee?: readonly Target[];
}

/** Windows are no shorter: below this, all waiting work is needed at once anyway. */
const MIN_WINDOW_S = 1;

const cache = new WeakMap<readonly Objective[], WeakMap<TargetSpec, CachedTargets>>();

const cachedTargets = (spec: TargetSpec, objectives: readonly Objective[]): CachedTargets => {
  let bySpec = cache.get(objectives);
  if (bySpec === undefined) {
    bySpec = new WeakMap();
    cache.set(objectives, bySpec);
  }
  let cached = bySpec.get(spec);
  if (cached === undefined) {
    cached = {};
    bySpec.set(spec, cached);
  }
  return cached;
};

/** The targets that one objective sets for a job. */
const targetsFrom = (
  objective: Objective,
  spec: TargetSpec,
  withinGuarantee: boolean,
): readonly Target[] => {
  if (objective.jobClass !== null && objective.jobClass !== spec.jobClass) return [];
  const targets: Target[] = [];
  if (objective.kind === "deadline" && spec.deadlineS !== null && objective.times !== null)
    targets.push({ kind: "finish", withinS: spec.deadlineS * objective.times });
  if (objective.withinS === null) return targets;
  if (objective.kind === "wait" || (objective.kind === "guarantee" && withinGuarantee))
    targets.push({ kind: "start", withinS: objective.withinS });
  if (objective.kind === "finished") targets.push({ kind: "finish", withinS: objective.withinS });
  return targets;
};

const computeTargets = (
  spec: TargetSpec,
  objectives: readonly Objective[],
  withinGuarantee: boolean,
): readonly Target[] => {
  const targets = objectives.flatMap((objective) => targetsFrom(objective, spec, withinGuarantee));
  if (spec.deadlineS !== null) targets.push({ kind: "finish", withinS: spec.deadlineS });
  return targets.sort((a, b) => a.withinS - b.withinS);
};

/**
 * What the settings (and a job's own deadline) ask of one job, the earliest target first. Computed
 * once for each pair of objectives and spec, because a job is looked at in many rounds.
 */
export const targetsOf = (
  spec: TargetSpec,
  objectives: readonly Objective[],
  withinGuarantee: boolean,
): readonly Target[] => {
  const cached = cachedTargets(spec, objectives);
  const key = withinGuarantee ? "withinGuarantee" : "beyondGuarantee";
  const targets = cached[key] ?? computeTargets(spec, objectives, withinGuarantee);
  cached[key] = targets;
  return targets;
};

/**
 * The slack: seconds until the job's next task must start for the next target that can still be met;
 * infinite if there is none. Missed targets don't count: the work is late whatever runs first.
 * `ageS`: seconds since submission. `runS`: expected run time.
 */
export const slackS = (targets: readonly Target[], ageS: number, runS: number): number => {
  let slack = Number.POSITIVE_INFINITY;
  for (const target of targets) {
    const timeLeftS = target.withinS - ageS - (target.kind === "finish" ? runS : 0);
    if (timeLeftS >= 0 && timeLeftS < slack) slack = timeLeftS;
  }
  return slack;
};

/** Seconds until a task must run for the next start target that can still be met; else infinite. */
export const startSlackS = (targets: readonly Target[], ageS: number): number => {
  let slack = Number.POSITIVE_INFINITY;
  for (const target of targets)
    if (target.kind === "start" && target.withinS >= ageS)
      slack = Math.min(slack, target.withinS - ageS);
  return slack;
};

/**
 * How many seconds a class's tasks may be in the system on average for its targets to be met, if
 * they use up this part (`patience`, 0 to 1) of their spare time. A class without targets may take
 * as long as it runs.
 */
export const maxTimeInSystemS = (
  targets: readonly Target[],
  runS: number,
  patience: number,
): number => {
  let shortestS = Number.POSITIVE_INFINITY;
  for (const target of targets) {
    const spareS = target.kind === "finish" ? target.withinS - runS : target.withinS;
    shortestS = Math.min(shortestS, Math.max(0, spareS) * patience);
  }
  return shortestS === Number.POSITIVE_INFINITY ? runS : shortestS;
};

/**
 * The window, in seconds, in which a job's remaining work should be done: this part (`patience`) of
 * the slack until its next target that can still be met. It shrinks as the job ages, so a backlog
 * that is getting late asks for more. A job without any such target is treated like a new one of
 * its class.
 */
export const workWindowS = (
  targets: readonly Target[],
  ageS: number,
  runS: number,
  patience: number,
): number => {
  const slack = slackS(targets, ageS, runS);
  if (slack === Number.POSITIVE_INFINITY)
    return Math.max(MIN_WINDOW_S, maxTimeInSystemS(targets, runS, patience));
  return Math.max(MIN_WINDOW_S, slack * patience);
};
