/**
 * The packages' settings file: which packages are enabled, and their settings. It is HCL, or the
 * JSON that the build generates from it, which is cheaper to parse.
 *
 * Reading it doesn't load any code of a package. A package without a block is disabled.
 */
import type { LoadSpreadSettings } from "@umberfold/load-spread";
import { type Checked, checked } from "./checked.js";
import { describeValue, FieldReader } from "./field-reader.js";
import {
  blockFields,
  type HclMap,
  type NumberSetting,
  parseHcl,
  readNumber,
  singleBlock,
} from "./hcl.js";

/** The settings of each package, which include whether it is enabled. */
export interface PackageSettings {
  readonly loadSpread: LoadSpreadSettings;
}

type LoadSpreadNumber = Exclude<
  keyof LoadSpreadSettings,
  "enabled" | "fairShares" | "balanceMachines"
>;

const LOAD_SPREAD_BLOCK = "load_spread";
const LOAD_SPREAD_NUMBERS: readonly NumberSetting<LoadSpreadNumber>[] = [
  { name: "max_span", key: "maxSpan", min: 1, max: 1000, fallback: 3, isInteger: true },
  { name: "min_tasks", key: "minTasks", min: 1, max: 1e9, fallback: 40, isInteger: true },
  { name: "grow_after_s", key: "growAfterS", min: 0, max: 86_400, fallback: 3 },
  { name: "shrink_after_s", key: "shrinkAfterS", min: 0, max: 86_400, fallback: 30 },
  { name: "imbalance", key: "imbalance", min: 1, max: 1000, fallback: 1.5 },
  { name: "min_share", key: "minShare", min: 0, max: 1, fallback: 0.05 },
  { name: "share_step", key: "shareStep", min: 0.001, max: 1, fallback: 0.05 },
  { name: "load_cost", key: "loadCost", min: 0, max: 1e6, fallback: 1 },
  { name: "transfer_cost", key: "transferCost", min: 0, max: 1e6, fallback: 0.1 },
  { name: "solver_cells", key: "solverCells", min: 0, max: 1e6, fallback: 60, isInteger: true },
  { name: "solver_ms", key: "solverMs", min: 0, max: 10_000, fallback: 20 },
  { name: "period_ms", key: "periodMs", min: 50, max: 60_000, fallback: 1000 },
];

const readLoadSpread = (reader: FieldReader): LoadSpreadSettings => {
  const numberNames = LOAD_SPREAD_NUMBERS.map(({ name }) => name);
  reader.refuseUnknown(["enabled", "fair_shares", "balance_machines", ...numberNames]);
  const numbers = Object.fromEntries(
    LOAD_SPREAD_NUMBERS.map((setting) => [setting.key, readNumber(reader, setting)]),
  ) as Record<LoadSpreadNumber, number>;
  const settings: LoadSpreadSettings = {
    ...numbers,
    enabled: reader.boolean("enabled", false),
    fairShares: reader.boolean("fair_shares", true),
    balanceMachines: reader.boolean("balance_machines", true),
  };
  const { minShare, maxSpan } = settings;
  if (minShare * maxSpan > 1)
    reader.faults.push(
      `${LOAD_SPREAD_BLOCK}: max_span times min_share must be at most 1, ` +
        `not ${maxSpan} times ${minShare}`,
    );
  return settings;
};

/** Validates a parsed file: a block is a list of one map in HCL, and may be a map in JSON. */
export const checkPackages = (raw: HclMap): Checked<PackageSettings> => {
  const faults: string[] = [];
  new FieldReader(raw, "", faults).refuseUnknown([LOAD_SPREAD_BLOCK]);
  const body = singleBlock(raw, LOAD_SPREAD_BLOCK, faults);
  if (body !== undefined && (typeof body !== "object" || body === null))
    faults.push(`${LOAD_SPREAD_BLOCK}: must be a block, not ${describeValue(body)}`);
  const reader = new FieldReader(blockFields(body), LOAD_SPREAD_BLOCK, faults);
  return checked({ loadSpread: readLoadSpread(reader) }, faults);
};

/** The settings without a file: all packages disabled. Throws only if a default is invalid. */
export const defaultPackages = (): PackageSettings => {
  const defaults = checkPackages({});
  if (!defaults.ok) throw new Error(defaults.faults.join("; "));
  return defaults.value;
};

/** Validates the packages' settings against the platform's number of shards. */
export const checkShardCount = (
  { loadSpread: { enabled, maxSpan } }: PackageSettings,
  shardCount: number,
): readonly string[] =>
  enabled && maxSpan > shardCount
    ? [`${LOAD_SPREAD_BLOCK}.max_span: ${maxSpan}, but there are ${shardCount} shards`]
    : [];

/** Parses and validates the file's text, as JSON if the file's name ends in `.json`. */
export const parsePackages = async (
  file: string,
  source: string,
): Promise<Checked<PackageSettings>> => {
  if (!file.endsWith(".json")) {
    const parsed = await parseHcl(source);
    return parsed.ok ? checkPackages(parsed.value) : parsed;
  }
  try {
    const raw: unknown = JSON.parse(source);
    if (typeof raw === "object" && raw !== null) return checkPackages({ ...raw });
  } catch {
    // Reported below, like valid JSON that isn't an object.
  }
  return { ok: false, faults: ["not a JSON object"] };
};
