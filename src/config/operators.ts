/**
 * The operators' settings: an optional HCL file, separate from the platform's settings, in which
 * each setting has a default.
 *
 * `OPERATOR_SETTINGS` is the only table of names, bounds and defaults; docs/operations.md describes
 * the effect of each. Names of durations end in their unit.
 */
import { type Checked, checked } from "./checked.js";
import { FieldReader } from "./field-reader.js";
import { blockFields, type NumberSetting, parseHcl, readNumber, singleBlock } from "./hcl.js";

/** The operators' settings by their names in the code. */
export interface Operators {
  /**
   * Duration of a member lease: a controller that doesn't renew it for this long loses its shards.
   */
  readonly memberLeaseMs: number;
  /** Pause between two watch requests to the state store. */
  readonly watchPauseMs: number;
  /** Maximum pause between rounds if nothing changes, and if a round requests a pause after it. */
  readonly maxRoundPauseMs: number;
  /** A controller must have been a member for this long before shards are returned to it. */
  readonly shardReturnDelayS: number;
  /** A machine that sends no heartbeat for this long and fails two calls is decommissioned. */
  readonly silenceTimeoutS: number;
  /** Period of the swarm's task moves. */
  readonly swarmPeriodS: number;
  /** Maximum number of moves per shard and period; 0 disables moves. */
  readonly maxSwarmMoves: number;
  /** The same limit as a fraction of the shard's machines; the larger of the two limits applies. */
  readonly maxSwarmMovesFraction: number;
  /** A task is moved only if it would lose at most this much work. */
  readonly swarmMaxLossS: number;
  /** Period of fleet planning and of calls to the cloud. */
  readonly fleetPeriodMs: number;
  /** A machine that isn't needed is returned after it has been idle for this long. */
  readonly idleReturnS: number;
  /** Spare capacity for urgent job classes, as a fraction of their use; on spot machines only. */
  readonly urgentHeadroomFraction: number;
  /** Factor on the demand bound, which assumes perfectly divisible work; 1 adds no margin. */
  readonly demandMarginFactor: number;
  /** Fraction of its spare time that a non-urgent job class may wait if capacity is cheap. */
  readonly maxWaitFraction: number;
  /** The same fraction if only expensive machines are available. */
  readonly maxWaitFractionIfCostly: number;
  /** Time constant with which the demand forecast follows rising demand. */
  readonly forecastRiseS: number;
  /** Time constant with which the demand forecast follows falling demand. */
  readonly forecastFallS: number;
  /** A task may preempt tasks of lower priority only if it must start within this time. */
  readonly preemptSlackS: number;
  /** Maximum amount of work that preemption for one task may discard. */
  readonly preemptMaxLossS: number;
  /** Preemption prefers victims with at least this much slack to those with less. */
  readonly protectedSlackS: number;
  /** A job of which no task has started for this long is placed before all other jobs. */
  readonly overdueAfterS: number;
  /** Assumed lifetime of a rented machine, over which the cost of its boot time is spread. */
  readonly expectedMachineLifeS: number;
  /** An offer that the cloud refused for lack of capacity is not requested again for this long. */
  readonly refusedOfferPauseS: number;
  /** A machine that isn't up after this multiple of its type's boot time is returned. */
  readonly bootTimeoutFactor: number;
  /** Period of the `stats` log event. */
  readonly statsPeriodS: number;
}

/** A setting and the block that contains it. */
export interface OperatorSetting extends NumberSetting<keyof Operators> {
  readonly section: string;
}

interface Bounds {
  readonly min: number;
  readonly max: number;
  readonly fallback: number;
}

const setting = (
  section: string,
  name: string,
  key: keyof Operators,
  bounds: Bounds,
): OperatorSetting => ({ section, name, key, ...bounds });

/** All settings; within a block, faults are reported in this order. */
export const OPERATOR_SETTINGS: readonly OperatorSetting[] = [
  setting("membership", "lease_ms", "memberLeaseMs", { min: 500, max: 600_000, fallback: 4000 }),
  setting("membership", "hand_back_s", "shardReturnDelayS", { min: 0, max: 86_400, fallback: 6 }),
  setting("state", "watch_pause_ms", "watchPauseMs", { min: 0, max: 10_000, fallback: 100 }),
  setting("rounds", "period_ms", "maxRoundPauseMs", { min: 10, max: 10_000, fallback: 250 }),
  setting("machines", "silence_s", "silenceTimeoutS", { min: 1, max: 86_400, fallback: 6.5 }),
  setting("swarm", "period_s", "swarmPeriodS", { min: 0.1, max: 86_400, fallback: 5 }),
  setting("swarm", "moves_per_round", "maxSwarmMoves", { min: 0, max: 10_000, fallback: 2 }),
  setting("swarm", "part_per_round", "maxSwarmMovesFraction", { min: 0, max: 1, fallback: 0.05 }),
  setting("swarm", "max_loss_s", "swarmMaxLossS", { min: 0, max: 86_400, fallback: 4 }),
  setting("fleet", "period_ms", "fleetPeriodMs", { min: 50, max: 60_000, fallback: 1000 }),
  setting("fleet", "idle_return_s", "idleReturnS", { min: 0, max: 86_400, fallback: 25 }),
  setting("fleet", "headroom", "urgentHeadroomFraction", { min: 0, max: 10, fallback: 0.3 }),
  setting("fleet", "margin", "demandMarginFactor", { min: 0.1, max: 100, fallback: 1.15 }),
  setting("fleet", "patience", "maxWaitFraction", { min: 0, max: 1, fallback: 0.2 }),
  setting("fleet", "last_patience", "maxWaitFractionIfCostly", { min: 0, max: 1, fallback: 0.35 }),
  setting("fleet", "rise_s", "forecastRiseS", { min: 0, max: 86_400, fallback: 15 }),
  setting("fleet", "fall_s", "forecastFallS", { min: 0, max: 86_400, fallback: 60 }),
  setting("order", "overdue_s", "overdueAfterS", { min: 1, max: 86_400, fallback: 120 }),
  setting("preemption", "slack_s", "preemptSlackS", { min: 0, max: 86_400, fallback: 8 }),
  setting("preemption", "spare_slack_s", "protectedSlackS", { min: 0, max: 86_400, fallback: 120 }),
  setting("preemption", "max_loss_s", "preemptMaxLossS", { min: 0, max: 86_400, fallback: 600 }),
  setting("fleet", "life_s", "expectedMachineLifeS", { min: 1, max: 86_400, fallback: 300 }),
  setting("fleet", "refused_pause_s", "refusedOfferPauseS", { min: 0, max: 86_400, fallback: 20 }),
  setting("fleet", "boot_patience", "bootTimeoutFactor", { min: 1, max: 100, fallback: 3 }),
  setting("logs", "stats_period_s", "statsPeriodS", { min: 1, max: 86_400, fallback: 30 }),
];

/** The settings without a file. */
export const defaultOperators = (): Operators =>
  Object.fromEntries(
    OPERATOR_SETTINGS.map(({ key, fallback }) => [key, fallback]),
  ) as unknown as Operators;

/** Validates a parsed file, in which each block is a list of one map. */
export const checkOperators = (raw: Readonly<Record<string, unknown>>): Checked<Operators> => {
  const faults: string[] = [];
  const sections = [...new Set(OPERATOR_SETTINGS.map(({ section }) => section))];
  new FieldReader(raw, "", faults).refuseUnknown(sections);
  const values: Record<string, number> = {};
  for (const section of sections) {
    const body = singleBlock(raw, section, faults);
    const reader = new FieldReader(blockFields(body), section, faults);
    const settings = OPERATOR_SETTINGS.filter((candidate) => candidate.section === section);
    reader.refuseUnknown(settings.map(({ name }) => name));
    for (const each of settings) values[each.key] = readNumber(reader, each);
  }
  return checked(values as unknown as Operators, faults);
};

/** Parses and validates the file's text. */
export const parseOperators = async (source: string): Promise<Checked<Operators>> => {
  const parsed = await parseHcl(source);
  return parsed.ok ? checkOperators(parsed.value) : parsed;
};
