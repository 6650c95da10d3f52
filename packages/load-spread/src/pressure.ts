/**
 * Whether a team presses on its owners enough for its span to grow, or so little that it may shrink.
 *
 * A state machine without state of its own: `stepPressure` is the one place where a team's pressure
 * changes. Between the bounds of `pressed` and `relaxed` lies a band in which nothing happens, so
 * that a load which swings around one bound doesn't change the span again and again.
 */
import type { LoadSpreadSettings } from "./settings.js";

/**
 * `pressed`: the team has at least `minTasks` tasks, some of them waiting, and an owner of its span
 * has much more to do than one outside it. `relaxed`: it has less than half of `minTasks`. `calm`:
 * neither.
 */
export type PressureState = "calm" | "pressed" | "relaxed";

/** A team's pressure and since when it has been so. */
export interface Pressure {
  readonly state: PressureState;
  /** Milliseconds of a monotonic clock. */
  readonly sinceMs: number;
}

/** The pressure of a team that has not been looked at yet. */
export const INITIAL_PRESSURE: Pressure = { state: "calm", sinceMs: 0 };

/** What a team's pressure is judged by. */
export interface PressureInput {
  /** Open attempts and waiting tasks. */
  readonly taskCount: number;
  readonly waitingTaskCount: number;
  /** Units of the busiest owner within the span. */
  readonly maxSpanOwnerUnits: number;
  /** Units of the idlest owner outside it; infinity if there is none. */
  readonly minOtherOwnerUnits: number;
}

/** Below this part of `minTasks` a team is relaxed. */
const LOW_PRESSURE_FRACTION = 0.5;

const stateOf = (input: PressureInput, settings: LoadSpreadSettings): PressureState => {
  if (input.taskCount < settings.minTasks * LOW_PRESSURE_FRACTION) return "relaxed";
  const uneven = input.maxSpanOwnerUnits > input.minOtherOwnerUnits * settings.imbalance;
  return input.taskCount >= settings.minTasks && input.waitingTaskCount > 0 && uneven
    ? "pressed"
    : "calm";
};

/** The pressure at `now` (milliseconds of a monotonic clock); a state that lasts keeps its `since`. */
export const stepPressure = (
  before: Pressure,
  input: PressureInput,
  settings: LoadSpreadSettings,
  now: number,
): Pressure => {
  const state = stateOf(input, settings);
  return state === before.state ? before : { state, sinceMs: now };
};
