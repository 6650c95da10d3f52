import type { Resources } from "../protocol/jobs.js";

export const KINDS = ["cpus", "gpus", "ramGb"] as const;

export const NOTHING: Resources = { cpus: 0, gpus: 0, ramGb: 0 };

export const plus = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  ramGb: a.ramGb + b.ramGb,
});

export const minus = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  ramGb: a.ramGb - b.ramGb,
});

export const times = (a: Resources, n: number): Resources => ({
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

export const ENDLESS: Resources = {
  cpus: Number.POSITIVE_INFINITY,
  gpus: Number.POSITIVE_INFINITY,
  ramGb: Number.POSITIVE_INFINITY,
};

export const lesser = (a: Resources, b: Resources): Resources => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
  ramGb: Math.min(a.ramGb, b.ramGb),
});

/** How many tasks of this need the room holds. */
export const slots = (need: Resources, room: Resources): number => {
  let n = Number.POSITIVE_INFINITY;
  for (const k of KINDS) if (need[k] > 0) n = Math.min(n, Math.floor(room[k] / need[k] + SLACK));
  return Math.max(0, n);
};
