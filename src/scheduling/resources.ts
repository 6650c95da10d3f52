/**
 * Arithmetic on resource amounts: processors, devices (GPUs) and memory in GB.
 *
 * Owns no state; every function is pure. Comparisons tolerate rounding errors: sums of decimal
 * amounts are off by a few units in the last place, and an exact comparison would reject a task
 * that fills a machine exactly.
 */
import type { Resources } from "../protocol/jobs.js";

/** The kinds of resources, in the order in which they are compared. */
export const RESOURCE_KINDS = ["cpus", "gpus", "ramGb"] as const;

/** No resources: the neutral element of `add`. */
export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, ramGb: 0 };

/** Infinite resources: the neutral element of `minimumOf`. */
export const UNBOUNDED_RESOURCES: Resources = {
  cpus: Number.POSITIVE_INFINITY,
  gpus: Number.POSITIVE_INFINITY,
  ramGb: Number.POSITIVE_INFINITY,
};

/** A demand that exceeds what is free by at most this still fits. */
const ROUNDING_TOLERANCE = 1e-9;

/** The sum of two amounts, for each kind of resource. */
export const add = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  ramGb: a.ramGb + b.ramGb,
});

/** `a` minus `b`, for each kind of resource; negative where `b` is larger. */
export const subtract = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  ramGb: a.ramGb - b.ramGb,
});

/** An amount multiplied by a factor. */
export const scale = (amount: Resources, factor: number): Resources => ({
  cpus: amount.cpus * factor,
  gpus: amount.gpus * factor,
  ramGb: amount.ramGb * factor,
});

/** Whether a demand fits into the free amount, for every kind of resource. */
export const fits = (need: Resources, free: Resources): boolean =>
  need.cpus <= free.cpus + ROUNDING_TOLERANCE &&
  need.gpus <= free.gpus + ROUNDING_TOLERANCE &&
  need.ramGb <= free.ramGb + ROUNDING_TOLERANCE;

/**
 * Whether a demand fits into the capacity that the used resources leave. The result is that of
 * `fits` with their difference, but no intermediate object is created, because placement calls this
 * for every machine and task.
 */
export const fitsRemainingCapacity = (
  need: Resources,
  usedResources: Resources,
  capacity: Resources,
): boolean =>
  need.cpus + usedResources.cpus <= capacity.cpus + ROUNDING_TOLERANCE &&
  need.gpus + usedResources.gpus <= capacity.gpus + ROUNDING_TOLERANCE &&
  need.ramGb + usedResources.ramGb <= capacity.ramGb + ROUNDING_TOLERANCE;

/** The smaller of two amounts, for each kind of resource. */
export const minimumOf = (a: Resources, b: Resources): Resources => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
  ramGb: Math.min(a.ramGb, b.ramGb),
});

/** The number of tasks of this demand that fit into the free amount; infinite for no demand. */
export const taskSlots = (need: Resources, free: Resources): number => {
  let slots = Number.POSITIVE_INFINITY;
  for (const kind of RESOURCE_KINDS)
    if (need[kind] > 0)
      slots = Math.min(slots, Math.floor(free[kind] / need[kind] + ROUNDING_TOLERANCE));
  return Math.max(0, slots);
};
