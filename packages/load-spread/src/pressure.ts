import type { LoadSpreadSettings } from "./settings.js";

/**
 * `calm`: neither. `pressed`: enough tasks, some of them waiting, behind an owner that has much more
 * to do than another. `relaxed`: less than half of the tasks that a spread needs. Between the two
 * bounds lies a band in which nothing changes.
 */
export type PressureState = "calm" | "pressed" | "relaxed";

export interface Pressure {
  readonly state: PressureState;
  /** Milliseconds of a steady clock. */
  readonly since: number;
}

export const NO_PRESSURE: Pressure = { state: "calm", since: 0 };

export interface PressureInput {
  readonly tasks: number;
  readonly waiting: number;
  /** Units of the busiest owner within the span, and of the idlest outside it. */
  readonly busiest: number;
  readonly idlest: number;
}

const RELAXED_PART = 0.5;

const stateOf = (input: PressureInput, settings: LoadSpreadSettings): PressureState => {
  if (input.tasks < settings.minTasks * RELAXED_PART) return "relaxed";
  const uneven = input.busiest > input.idlest * settings.imbalance;
  return input.tasks >= settings.minTasks && input.waiting > 0 && uneven ? "pressed" : "calm";
};

/** The one place where a team's pressure changes; a state that lasts keeps the time it began. */
export const stepPressure = (
  before: Pressure,
  input: PressureInput,
  settings: LoadSpreadSettings,
  now: number,
): Pressure => {
  const state = stateOf(input, settings);
  return state === before.state ? before : { state, since: now };
};
