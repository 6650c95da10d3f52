/**
 * Arithmetic on resource amounts: processors, devices (GPUs) and memory in GB.
 *
 * Owns no state; every function is pure. Comparisons allow for rounding, because sums of decimal
 * amounts drift by a few units in the last place, and an exact comparison would refuse a task that
 * fills a machine exactly.
 */
import type { Resources } from "../protocol/jobs.js";

/** The kinds of resources, in the order in which they are compared. */
export const RESOURCE_KINDS = ["cpus", "gpus", "ramGb"] as const;

/** The sum of no resources at all. */
export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, ramGb: 0 };

/** The minimum over no resources at all: no amount is above it. */
export const UNBOUNDED_RESOURCES: Resources = {
  cpus: Number.POSITIVE_INFINITY,
  gpus: Number.POSITIVE_INFINITY,
  ramGb: Number.POSITIVE_INFINITY,
};

/** Amounts that differ by less count as equal. */
const ROUNDING_TOLERANCE = 1e-9;

/** The sum of two amounts, kind by kind. */
export const add = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  ramGb: a.ramGb + b.ramGb,
});

/** The first amount less the second, kind by kind; negative where the second is larger. */
export const subtract = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  ramGb: a.ramGb - b.ramGb,
});

/** An amount taken `factor` times. */
export const scale = (amount: Resources, factor: number): Resources => ({
  cpus: amount.cpus * factor,
  gpus: amount.gpus * factor,
  ramGb: amount.ramGb * factor,
});

/** Whether a demand fits into what is free, in every kind. */
export const fits = (need: Resources, free: Resources): boolean =>
  need.cpus <= free.cpus + ROUNDING_TOLERANCE &&
  need.gpus <= free.gpus + ROUNDING_TOLERANCE &&
  need.ramGb <= free.ramGb + ROUNDING_TOLERANCE;

/**
 * Whether a demand fits into the capacity in addition to what is in use. The same as `fits` on the
 * difference, but without an intermediate object: placement asks it for every machine and task.
 */
export const fitsRemainingCapacity = (
  need: Resources,
  usedResources: Resources,
  capacity: Resources,
): boolean =>
  need.cpus + usedResources.cpus <= capacity.cpus + ROUNDING_TOLERANCE &&
  need.gpus + usedResources.gpus <= capacity.gpus + ROUNDING_TOLERANCE &&
  need.ramGb + usedResources.ramGb <= capacity.ramGb + ROUNDING_TOLERANCE;

/** The smaller of two amounts, kind by kind. */
export const minimumOf = (a: Resources, b: Resources): Resources => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
  ramGb: Math.min(a.ramGb, b.ramGb),
});

/** How many tasks of this demand fit into the free amount; infinite if the demand is zero. */
export const taskSlots = (need: Resources, free: Resources): number => {
  let slots = Number.POSITIVE_INFINITY;
  for (const kind of RESOURCE_KINDS)
    if (need[kind] > 0)
      slots = Math.min(slots, Math.floor(free[kind] / need[kind] + ROUNDING_TOLERANCE));
  return Math.max(0, slots);
};
