import { FieldReader } from "./field-reader.js";
import { parseHcl } from "./hcl.js";
import type { Checked } from "./settings.js";

/** What operators may set beyond the platform's file. docs/operations.md tells each one's effect. */
export interface Operators {
  readonly memberLeaseMs: number;
  readonly watchPauseMs: number;
  readonly roundMs: number;
  readonly handBackS: number;
  readonly silenceS: number;
  readonly swarmPeriodS: number;
  readonly swarmMoves: number;
  readonly swarmPart: number;
  readonly swarmMaxLossS: number;
  readonly fleetPeriodMs: number;
  readonly idleReturnS: number;
  readonly headroom: number;
  readonly margin: number;
  readonly patience: number;
  readonly lastPatience: number;
  readonly riseS: number;
  readonly fallS: number;
  readonly preemptSlackS: number;
  readonly preemptMaxLossS: number;
  readonly spareSlackS: number;
  readonly overdueS: number;
  readonly lifeS: number;
  readonly refusedPauseS: number;
  readonly bootPatience: number;
  readonly statsPeriodS: number;
}

export interface OperatorSetting {
  readonly section: string;
  readonly name: string;
  readonly key: keyof Operators;
  readonly least: number;
  readonly most: number;
  readonly fallback: number;
}

const setting = (
  section: string,
  name: string,
  key: keyof Operators,
  least: number,
  most: number,
  fallback: number,
): OperatorSetting => ({ section, name, key, least, most, fallback });

export const OPERATOR_SETTINGS: readonly OperatorSetting[] = [
  setting("membership", "lease_ms", "memberLeaseMs", 500, 600_000, 4000),
  setting("membership", "hand_back_s", "handBackS", 0, 86_400, 6),
  setting("state", "watch_pause_ms", "watchPauseMs", 0, 10_000, 100),
  setting("rounds", "period_ms", "roundMs", 10, 10_000, 250),
  setting("machines", "silence_s", "silenceS", 1, 86_400, 6.5),
  setting("swarm", "period_s", "swarmPeriodS", 0.1, 86_400, 5),
  setting("swarm", "moves_per_round", "swarmMoves", 0, 10_000, 2),
  setting("swarm", "part_per_round", "swarmPart", 0, 1, 0.05),
  setting("swarm", "max_loss_s", "swarmMaxLossS", 0, 86_400, 4),
  setting("fleet", "period_ms", "fleetPeriodMs", 50, 60_000, 1000),
  setting("fleet", "idle_return_s", "idleReturnS", 0, 86_400, 25),
  setting("fleet", "headroom", "headroom", 0, 10, 0.3),
  setting("fleet", "margin", "margin", 0.1, 100, 1.15),
  setting("fleet", "patience", "patience", 0, 1, 0.2),
  setting("fleet", "last_patience", "lastPatience", 0, 1, 0.35),
  setting("fleet", "rise_s", "riseS", 0, 86_400, 15),
  setting("fleet", "fall_s", "fallS", 0, 86_400, 60),
  setting("order", "overdue_s", "overdueS", 1, 86_400, 120),
  setting("preemption", "slack_s", "preemptSlackS", 0, 86_400, 8),
  setting("preemption", "spare_slack_s", "spareSlackS", 0, 86_400, 120),
  setting("preemption", "max_loss_s", "preemptMaxLossS", 0, 86_400, 600),
  setting("fleet", "life_s", "lifeS", 1, 86_400, 300),
  setting("fleet", "refused_pause_s", "refusedPauseS", 0, 86_400, 20),
  setting("fleet", "boot_patience", "bootPatience", 1, 100, 3),
  setting("logs", "stats_period_s", "statsPeriodS", 1, 86_400, 30),
];

export const defaultOperators = (): Operators =>
  Object.fromEntries(OPERATOR_SETTINGS.map((k) => [k.key, k.fallback])) as unknown as Operators;

/** `raw` is the HCL file as a map: blocks arrive as lists of one map. */
export const checkOperators = (raw: Readonly<Record<string, unknown>>): Checked<Operators> => {
  const faults: string[] = [];
  const sections = [...new Set(OPERATOR_SETTINGS.map((k) => k.section))];
  new FieldReader(raw, "", faults).only(sections);
  const out: Record<string, number> = {};
  for (const section of sections) {
    const block = raw[section];
    const body = Array.isArray(block) ? block[0] : block;
    if (Array.isArray(block) && block.length > 1) faults.push(`${section}: block appears twice`);
    const reader = new FieldReader(
      typeof body === "object" && body !== null ? { ...body } : {},
      section,
      faults,
    );
    const knobs = OPERATOR_SETTINGS.filter((k) => k.section === section);
    reader.only(knobs.map((k) => k.name));
    for (const k of knobs) out[k.key] = reader.number(k.name, k.least, k.most, k.fallback);
  }
  return faults.length > 0
    ? { ok: false, faults }
    : { ok: true, value: out as unknown as Operators };
};

export const parseOperators = async (source: string): Promise<Checked<Operators>> => {
  const parsed = await parseHcl(source);
  return parsed.ok ? checkOperators(parsed.value) : parsed;
};
