/**
 * Derives a job's targets from the service-level objectives, and its slack until the next target.
 *
 * State: a cache of the targets by objectives and job spec. Both are immutable, and a cache entry
 * is garbage collected with its keys. All times are in seconds.
 */
import type { Objective } from "../config/settings.js";
import type { JobSpec } from "../protocol/jobs.js";

/** A time by which a job's task must have started, or the job finished, to meet an objective. */
export interface Target {
  /** `start`: a task must have started by then. `finish`: the job must have finished by then. */
  readonly kind: "start" | "finish";
  /** Seconds after the job's submission. */
  readonly withinS: number;
}

type TargetSpec = Pick<JobSpec, "jobClass" | "deadlineS">;

/** The targets of one spec, for a job within or beyond its team's guarantee. */
interface CachedTargets {
  beyondGuarantee?: readonly Target[];
  withinGuarantee?: readonly Target[];
}

/** The minimum window. With a shorter one, slots for all waiting tasks would be needed anyway. */
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
 * The targets that the objectives in the settings and the job's own deadline set for a job,
 * earliest first. Cached for each pair of objectives and spec, because many rounds evaluate the
 * same job.
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
 * The slack: seconds within which the job's next task must start to meet the next target that can
 * still be met; infinite if there is none. Targets that can't be met any more are ignored, because
 * running the job earlier would not help. `ageS`: seconds since submission.
 */
export const slackS = (targets: readonly Target[], ageS: number, expectedRunS: number): number => {
  let slack = Number.POSITIVE_INFINITY;
  for (const target of targets) {
    const timeLeftS = target.withinS - ageS - (target.kind === "finish" ? expectedRunS : 0);
    if (timeLeftS >= 0 && timeLeftS < slack) slack = timeLeftS;
  }
  return slack;
};

/** Seconds until the next start target that can still be met; infinite if there is none. */
export const startSlackS = (targets: readonly Target[], ageS: number): number => {
  let slack = Number.POSITIVE_INFINITY;
  for (const target of targets)
    if (target.kind === "start" && target.withinS >= ageS)
      slack = Math.min(slack, target.withinS - ageS);
  return slack;
};

/**
 * The mean time, in seconds, that a class's tasks may spend in the system before they use up the
 * given fraction (`slackFraction`, 0 to 1) of the slack that a new job has. A class without targets
 * gets its expected run time.
 */
export const maxTimeInSystemS = (
  targets: readonly Target[],
  expectedRunS: number,
  slackFraction: number,
): number => {
  let shortestS = Number.POSITIVE_INFINITY;
  for (const target of targets) {
    const slackAtSubmissionS =
      target.kind === "finish" ? target.withinS - expectedRunS : target.withinS;
    shortestS = Math.min(shortestS, Math.max(0, slackAtSubmissionS) * slackFraction);
  }
  return shortestS === Number.POSITIVE_INFINITY ? expectedRunS : shortestS;
};

/**
 * The window, in seconds, within which a job's remaining work should be done: a fraction
 * (`slackFraction`, 0 to 1) of the slack until its next target that can still be met. The window
 * shrinks as the job ages, so that an aging backlog raises demand. A job without any such target
 * gets the window of a new job of its class.
 */
export const workWindowS = (
  targets: readonly Target[],
  ageS: number,
  expectedRunS: number,
  slackFraction: number,
): number => {
  const slack = slackS(targets, ageS, expectedRunS);
  if (slack === Number.POSITIVE_INFINITY)
    return Math.max(MIN_WINDOW_S, maxTimeInSystemS(targets, expectedRunS, slackFraction));
  return Math.max(MIN_WINDOW_S, slack * slackFraction);
};
