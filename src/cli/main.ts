import { readFileSync } from "node:fs";
import path from "node:path";
import { Command } from "commander";
import * as Effect from "effect/Effect";
import { makeLogger, parseLevel } from "../observability/log.js";
import { defaultOperators, type Operators, parseOperators } from "./operators.js";
import { type Checked, parseSettings, type Settings } from "./settings.js";

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

interface Loaded {
  readonly settings: Settings;
  readonly operators: Operators;
}

/** Both files, or every fault found in them, each a line with its file's name. */
const load = async (config: string, operators: string | undefined): Promise<Checked<Loaded>> => {
  const text = readText(config);
  const settings = text.ok ? parseSettings(text.value) : text;
  const faults = settings.ok ? [] : settings.faults.map((f) => `${config}: ${f}`);
  let knobs: Checked<Operators> = { ok: true, value: defaultOperators() };
  if (operators !== undefined) {
    const hcl = readText(operators);
    knobs = hcl.ok ? await parseOperators(hcl.value) : hcl;
    if (!knobs.ok) faults.push(...knobs.faults.map((f) => `${operators}: ${f}`));
  }
  return settings.ok && knobs.ok
    ? { ok: true, value: { settings: settings.value, operators: knobs.value } }
    : { ok: false, faults };
};

interface Options {
  readonly config: string;
  readonly operators?: string;
  readonly check?: boolean;
}

const start = async (o: Options): Promise<void> => {
  const loaded = await load(o.config, o.operators);
  if (!loaded.ok) {
    for (const f of loaded.faults) process.stderr.write(`umberfold: ${f}\n`);
    process.exitCode = 1;
    return;
  }
  if (o.check === true) {
    process.stdout.write("settings are valid\n");
    return;
  }
  const { settings, operators } = loaded.value;
  const log = makeLogger(parseLevel(process.env.LOG_LEVEL), { node: settings.label });
  for (const what of settings.passedOver) log.info("objective passed over", { what });
  // Last resort: a fault in one request or pass must not end what serves all others.
  process.on("uncaughtException", (e) => log.error("uncaught", { error: String(e.stack ?? e) }));
  process.on("unhandledRejection", (e) => log.error("unhandled", { error: String(e) }));
  const { runController } = await import("../service/controller.js");
  await Effect.runPromise(Effect.scoped(runController(settings, operators, log))).catch((e) => {
    log.error("can't run", { error: String(e) });
    process.exit(1);
  });
};

export const main = async (argv: readonly string[]): Promise<void> => {
  const program = new Command("umberfold")
    .description("a controller of the umberfold cluster scheduler")
    .version(version())
    .requiredOption("--config <file>", "settings handed over by the platform (TOML)")
    .option("--operators <file>", "operators' own settings (HCL)")
    .option("--check", "check the settings and exit")
    .action(start);
  await program.parseAsync([...argv]);
};
