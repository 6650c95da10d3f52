import { readFileSync } from "node:fs";
import path from "node:path";
import { Command } from "commander";
import * as Effect from "effect/Effect";
import { defaultOperators, type Operators, parseOperators } from "../config/operators.js";
import {
  checkAgainstShards,
  defaultPackages,
  type PackageSettings,
  parsePackages,
} from "../config/packages.js";
import { type Checked, parseSettings, type Settings } from "../config/settings.js";
import { makeLogger, parseLevel } from "../observability/log.js";

const readText = (path: string): Checked<string> => {
  try {
    return { ok: true, value: readFileSync(path, "utf8") };
  } catch (e) {
    return { ok: false, faults: [`can't be read: ${(e as NodeJS.ErrnoException).code ?? e}`] };
  }
};

const version = (): string => {
  const program = process.argv[1] ?? "";
  const text = readText(path.join(path.dirname(program), "..", "package.json"));
  return text.ok ? String(JSON.parse(text.value).version) : "unknown";
};

interface Options {
  readonly config: string;
  readonly operators?: string;
  readonly packages?: string;
  readonly check?: boolean;
}

interface Loaded {
  readonly settings: Settings;
  readonly operators: Operators;
  readonly packages: PackageSettings;
}

/** All files, or every fault found in them, each a line with its file's name. */
const load = async ({ config, operators, packages }: Options): Promise<Checked<Loaded>> => {
  const text = readText(config);
  const settings = text.ok ? parseSettings(text.value) : text;
  const faults = settings.ok ? [] : settings.faults.map((f) => `${config}: ${f}`);
  let knobs: Checked<Operators> = { ok: true, value: defaultOperators() };
  if (operators !== undefined) {
    const hcl = readText(operators);
    knobs = hcl.ok ? await parseOperators(hcl.value) : hcl;
    if (!knobs.ok) faults.push(...knobs.faults.map((f) => `${operators}: ${f}`));
  }
  let switches: Checked<PackageSettings> = { ok: true, value: defaultPackages() };
  if (packages !== undefined) {
    const source = readText(packages);
    switches = source.ok ? await parsePackages(packages, source.value) : source;
    if (!switches.ok) faults.push(...switches.faults.map((f) => `${packages}: ${f}`));
    else if (settings.ok)
      faults.push(
        ...checkAgainstShards(switches.value, settings.value.shardCount).map(
          (f) => `${packages}: ${f}`,
        ),
      );
  }
  if (!settings.ok || !knobs.ok || !switches.ok || faults.length > 0) return { ok: false, faults };
  return {
    ok: true,
    value: { settings: settings.value, operators: knobs.value, packages: switches.value },
  };
};

const start = async (o: Options): Promise<void> => {
  const loaded = await load(o);
  if (!loaded.ok) {
    for (const f of loaded.faults) process.stderr.write(`umberfold: ${f}\n`);
    process.exitCode = 1;
    return;
  }
  if (o.check === true) {
    process.stdout.write("settings are valid\n");
    return;
  }
  const { settings, operators, packages } = loaded.value;
  const log = makeLogger(parseLevel(process.env.LOG_LEVEL), { node: settings.label });
  for (const what of settings.ignoredObjectives) log.info("objective passed over", { what });
  // Last resort: a fault in one request or pass must not end what serves all others.
  process.on("uncaughtException", (e) => log.error("uncaught", { error: String(e.stack ?? e) }));
  process.on("unhandledRejection", (e) => log.error("unhandled", { error: String(e) }));
  const { runController } = await import("../service/run-controller.js");
  await Effect.runPromise(Effect.scoped(runController(settings, operators, packages, log))).catch(
    (e) => {
      log.error("can't run", { error: String(e) });
      process.exit(1);
    },
  );
};

export const main = async (argv: readonly string[]): Promise<void> => {
  const program = new Command("umberfold")
    .description("a controller of the umberfold cluster scheduler")
    .version(version())
    .requiredOption("--config <file>", "settings handed over by the platform (TOML)")
    .option("--operators <file>", "operators' own settings (HCL)")
    .option("--packages <file>", "which packages are on, and their settings (HCL, or JSON)")
    .option("--check", "check the settings and exit")
    .action(start);
  await program.parseAsync([...argv]);
};
