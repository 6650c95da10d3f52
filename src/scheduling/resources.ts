import type { Resources } from "../protocol/jobs.js";

export const RESOURCE_KINDS = ["cpus", "gpus", "ramGb"] as const;

export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, ramGb: 0 };

export const add = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  ramGb: a.ramGb + b.ramGb,
});

export const subtract = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  ramGb: a.ramGb - b.ramGb,
});

export const scale = (a: Resources, n: number): Resources => ({
  cpus: a.cpus * n,
  gpus: a.gpus * n,
  ramGb: a.ramGb * n,
});

/** Sums of decimal amounts drift by a few units in the last place. */
const SLACK = 1e-9;

export const fits = (need: Resources, free: Resources): boolean =>
  need.cpus <= free.cpus + SLACK &&
  need.gpus <= free.gpus + SLACK &&
  need.ramGb <= free.ramGb + SLACK;

/** Whether a need fits beside what is used already. */
export const fitsBeside = (need: Resources, use: Resources, capacity: Resources): boolean =>
  need.cpus + use.cpus <= capacity.cpus + SLACK &&
  need.gpus + use.gpus <= capacity.gpus + SLACK &&
  need.ramGb + use.ramGb <= capacity.ramGb + SLACK;

export const UNBOUNDED_RESOURCES: Resources = {
  cpus: Number.POSITIVE_INFINITY,
  gpus: Number.POSITIVE_INFINITY,
  ramGb: Number.POSITIVE_INFINITY,
};

export const minimumOf = (a: Resources, b: Resources): Resources => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
  ramGb: Math.min(a.ramGb, b.ramGb),
});

/** How many tasks of this need the room holds. */
export const taskSlots = (need: Resources, room: Resources): number => {
  let n = Number.POSITIVE_INFINITY;
  for (const k of RESOURCE_KINDS)
    if (need[k] > 0) n = Math.min(n, Math.floor(room[k] / need[k] + SLACK));
  return Math.max(0, n);
};
