/**
 * Decides whether a team's load on its owners is so high that its span may grow, or so low that the
 * span may shrink.
 *
 * A state machine without state of its own: only `stepPressure` changes a team's pressure. Between
 * the thresholds of `high` and `low` lies a band in which the span doesn't change (hysteresis), so
 * that a load that fluctuates around one threshold doesn't change the span repeatedly.
 */
import type { LoadSpreadSettings } from "./settings.js";

/**
 * `high`: the team has at least `minTasks` tasks, some of them waiting, and the load of the busiest
 * owner in its span exceeds that of the least loaded owner outside it by more than the factor
 * `imbalance`. `low`: the team has less than half of `minTasks`. `normal`: neither.
 */
export type PressureState = "normal" | "high" | "low";

/** A team's pressure and when it last changed. */
export interface Pressure {
  readonly state: PressureState;
  /** The start of the state, or of its current waiting period, on a monotonic clock. */
  readonly sinceMs: number;
}

/** The pressure of a team whose load has not been evaluated yet. */
export const INITIAL_PRESSURE: Pressure = { state: "normal", sinceMs: 0 };

/** The values from which a team's pressure is computed. */
export interface PressureInput {
  /** The number of open attempts and waiting tasks. */
  readonly taskCount: number;
  readonly waitingTaskCount: number;
  /** Load units of the busiest owner in the span. */
  readonly maxSpanOwnerUnits: number;
  /** Load units of the least loaded owner outside the span; infinity if there is none. */
  readonly minOtherOwnerUnits: number;
}

/** The pressure is low if the team has fewer tasks than this fraction of `minTasks`. */
const LOW_PRESSURE_FRACTION = 0.5;

const stateOf = (input: PressureInput, settings: LoadSpreadSettings): PressureState => {
  if (input.taskCount < settings.minTasks * LOW_PRESSURE_FRACTION) return "low";
  const isImbalanced = input.maxSpanOwnerUnits > input.minOtherOwnerUnits * settings.imbalance;
  return input.taskCount >= settings.minTasks && input.waitingTaskCount > 0 && isImbalanced
    ? "high"
    : "normal";
};

/**
 * Returns the pressure at `nowMs`, on a monotonic clock. If the state is unchanged, `sinceMs` is
 * too.
 */
export const stepPressure = (
  previous: Pressure,
  input: PressureInput,
  settings: LoadSpreadSettings,
  nowMs: number,
): Pressure => {
  const state = stateOf(input, settings);
  return state === previous.state ? previous : { state, sinceMs: nowMs };
};
