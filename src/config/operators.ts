/**
 * The operators' own settings: an HCL file beside the platform's, in which each setting has a
 * default.
 *
 * `OPERATOR_SETTINGS` is the one table of names, bounds and defaults; docs/operations.md tells each
 * one's effect. Names end in their unit.
 */
import { type Checked, checked } from "./checked.js";
import { FieldReader } from "./field-reader.js";
import { blockFields, type NumberSetting, parseHcl, readNumber, singleBlock } from "./hcl.js";

/** What operators may set beyond the platform's file. */
export interface Operators {
  /** A controller that is silent for this long loses its shards. */
  readonly memberLeaseMs: number;
  /** Pause between two watches of the state store. */
  readonly watchPauseMs: number;
  /** Longest pause between rounds when nothing happens, and the longest rest after one. */
  readonly maxRoundPauseMs: number;
  /** A controller must have been a member for this long before it is given a shard back. */
  readonly shardReturnDelayS: number;
  /** A machine silent for this long, which also fails two calls, is returned. */
  readonly silenceTimeoutS: number;
  /** How often the swarm moves tasks. */
  readonly swarmPeriodS: number;
  /** Most moves a shard and period; 0 turns moves off. */
  readonly maxSwarmMoves: number;
  /** The same as a part of the shard's machines, where that is more. */
  readonly maxSwarmMovesFraction: number;
  /** Only tasks that would lose at most this much work move. */
  readonly swarmMaxLossS: number;
  /** How often the fleet is planned and the cloud called. */
  readonly fleetPeriodMs: number;
  /** An unneeded machine idle for this long is returned. */
  readonly idleReturnS: number;
  /** Room beyond what urgent classes use, as a part of it, on spot machines only. */
  readonly urgentHeadroomFraction: number;
  /** Room beyond what perfectly divisible work would take; 1 is the bare bound. */
  readonly demandMarginFactor: number;
  /** The part of the time left in which patient classes should be through, if room is cheap. */
  readonly maxWaitFraction: number;
  /** The same where only costly machines are to be had. */
  readonly maxWaitFractionIfCostly: number;
  /** How fast the forecast follows demand upwards. */
  readonly forecastRiseS: number;
  /** How fast it follows demand downwards. */
  readonly forecastFallS: number;
  /** Work of higher priority preempts if it must start within this time. */
  readonly preemptSlackS: number;
  /** Most work that making room for one task may throw away. */
  readonly preemptMaxLossS: number;
  /** Work with less slack than this is spared in favour of work with more. */
  readonly protectedSlackS: number;
  /** A job that has waited this long without one start goes before all others. */
  readonly overdueAfterS: number;
  /** What a rented machine's boot is taken to be spread over when offers are compared. */
  readonly expectedMachineLifeS: number;
  /** An offer refused for lack of capacity is not asked for again for this long. */
  readonly refusedOfferPauseS: number;
  /** A machine not up after this many times its type's boot time is returned. */
  readonly bootTimeoutFactor: number;
  /** How often `stats` is logged. */
  readonly statsPeriodS: number;
}

/** One setting, and the block that it stands in. */
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

/** All settings, in the order in which faults are reported within a block. */
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

/** What holds without a file. */
export const defaultOperators = (): Operators =>
  Object.fromEntries(
    OPERATOR_SETTINGS.map(({ key, fallback }) => [key, fallback]),
  ) as unknown as Operators;

/** Checks the file as a map, in which blocks arrive as lists of one map. */
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

/** Reads the file's text. */
export const parseOperators = async (source: string): Promise<Checked<Operators>> => {
  const parsed = await parseHcl(source);
  return parsed.ok ? checkOperators(parsed.value) : parsed;
};
