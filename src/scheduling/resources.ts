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
  KINDS.every((k) => need[k] <= free[k] + SLACK);

/** How many tasks of this need the room holds. */
export const slots = (need: Resources, room: Resources): number => {
  let n = Number.POSITIVE_INFINITY;
  for (const k of KINDS) if (need[k] > 0) n = Math.min(n, Math.floor(room[k] / need[k] + SLACK));
  return Math.max(0, n);
};
