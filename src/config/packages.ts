import type { LoadSpreadSettings } from "@umberfold/load-spread";
import { FieldReader } from "./field-reader.js";
import { parseHcl } from "./hcl.js";
import type { Checked } from "./settings.js";

/** Which packages are switched on, and their settings. A package without a block is off. */
export interface PackageSettings {
  readonly loadSpread: LoadSpreadSettings;
}

interface NumberSetting<Key> {
  readonly name: string;
  readonly key: Key;
  readonly least: number;
  readonly most: number;
  readonly fallback: number;
  readonly whole?: boolean;
}

type LoadSpreadNumber = Exclude<
  keyof LoadSpreadSettings,
  "enabled" | "fairShares" | "balanceMachines"
>;

const LOAD_SPREAD = "load_spread";
const LOAD_SPREAD_NUMBERS: readonly NumberSetting<LoadSpreadNumber>[] = [
  { name: "max_span", key: "maxSpan", least: 1, most: 1000, fallback: 3, whole: true },
  { name: "min_tasks", key: "minTasks", least: 1, most: 1e9, fallback: 40, whole: true },
  { name: "grow_after_s", key: "growAfterS", least: 0, most: 86_400, fallback: 3 },
  { name: "shrink_after_s", key: "shrinkAfterS", least: 0, most: 86_400, fallback: 30 },
  { name: "imbalance", key: "imbalance", least: 1, most: 1000, fallback: 1.5 },
  { name: "min_share", key: "minShare", least: 0, most: 1, fallback: 0.05 },
  { name: "share_step", key: "shareStep", least: 0.001, most: 1, fallback: 0.05 },
  { name: "load_cost", key: "loadCost", least: 0, most: 1e6, fallback: 1 },
  { name: "transfer_cost", key: "transferCost", least: 0, most: 1e6, fallback: 0.1 },
  { name: "solver_cells", key: "solverCells", least: 0, most: 1e6, fallback: 60, whole: true },
  { name: "solver_ms", key: "solverMs", least: 0, most: 10_000, fallback: 20 },
  { name: "period_ms", key: "periodMs", least: 50, most: 60_000, fallback: 1000 },
];

const loadSpread = (reader: FieldReader): LoadSpreadSettings => {
  reader.only([
    "enabled",
    "fair_shares",
    "balance_machines",
    ...LOAD_SPREAD_NUMBERS.map((s) => s.name),
  ]);
  const numbers = Object.fromEntries(
    LOAD_SPREAD_NUMBERS.map((s) => {
      const read = s.whole === true ? reader.whole : reader.number;
      return [s.key, read.call(reader, s.name, s.least, s.most, s.fallback)];
    }),
  ) as Record<LoadSpreadNumber, number>;
  const settings: LoadSpreadSettings = {
    ...numbers,
    enabled: reader.flag("enabled", false),
    fairShares: reader.flag("fair_shares", true),
    balanceMachines: reader.flag("balance_machines", true),
  };
  if (settings.minShare * settings.maxSpan > 1)
    reader.faults.push(`${LOAD_SPREAD}: max_span times min_share is more than the whole`);
  return settings;
};

/** `raw` is the file as a map: HCL blocks arrive as lists of one map, JSON objects as they are. */
export const checkPackages = (raw: Readonly<Record<string, unknown>>): Checked<PackageSettings> => {
  const faults: string[] = [];
  new FieldReader(raw, "", faults).only([LOAD_SPREAD]);
  const block = raw[LOAD_SPREAD];
  if (Array.isArray(block) && block.length > 1) faults.push(`${LOAD_SPREAD}: block appears twice`);
  const body = Array.isArray(block) ? block[0] : block;
  if (body !== undefined && (typeof body !== "object" || body === null))
    faults.push(`${LOAD_SPREAD}: must be a block`);
  const fields = typeof body === "object" && body !== null ? { ...body } : {};
  const value = { loadSpread: loadSpread(new FieldReader(fields, LOAD_SPREAD, faults)) };
  return faults.length > 0 ? { ok: false, faults } : { ok: true, value };
};

/** All packages off. */
export const defaultPackages = (): PackageSettings => {
  const checked = checkPackages({});
  if (!checked.ok) throw new Error(checked.faults.join("; "));
  return checked.value;
};

/** What can only be judged beside the platform's settings. */
export const checkAgainstShards = (
  { loadSpread: { enabled, maxSpan } }: PackageSettings,
  shards: number,
): readonly string[] =>
  enabled && maxSpan > shards
    ? [`${LOAD_SPREAD}.max_span: ${maxSpan}, but there are ${shards} shards`]
    : [];

/** The operators' file in HCL, or what the build made of it in JSON, which is cheaper to read. */
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
    // Told below, as for any other text that is no JSON object.
  }
  return { ok: false, faults: ["not a JSON object"] };
};
