/**
 * The command line: parses options, validates all files and starts the controller.
 *
 * The controller's modules are loaded only after the files were found valid, so that `--check`,
 * `--version` and a start with invalid settings are cheap.
 */
import path from "node:path";
import { Command } from "commander";
import * as Effect from "effect/Effect";
import { errorFields, errorFieldsWithStack } from "../observability/error-fields.js";
import { type Logger, makeLogger, parseLevel } from "../observability/log.js";
import { EXIT_CODES } from "./exit-codes.js";
import { type FileNames, type LoadedFiles, loadFiles, readText } from "./load-files.js";

interface Options extends FileNames {
  readonly check?: boolean;
}

const version = (): string => {
  const program = process.argv[1] ?? "";
  const text = readText(path.join(path.dirname(program), "..", "package.json"));
  return text.ok ? String(JSON.parse(text.value).version) : "unknown";
};

/** Logs errors that nothing caught: a fault in one request or task must not end the process. */
const logUnexpectedErrors = (log: Logger): void => {
  process.on("uncaughtException", (error) =>
    log.error("uncaught exception", errorFieldsWithStack(error)),
  );
  process.on("unhandledRejection", (reason) =>
    log.error("unhandled rejection", errorFieldsWithStack(reason)),
  );
};

/** Runs until the process is killed; exits if the controller can't start its servers. */
const serve = async ({ settings, operators, packages }: LoadedFiles): Promise<void> => {
  const log = makeLogger(parseLevel(process.env.LOG_LEVEL), { node: settings.label });
  for (const what of settings.ignoredObjectives) log.info("objective ignored", { what });
  logUnexpectedErrors(log);
  const { ListenError, runController } = await import("../service/run-controller.js");
  const running = Effect.scoped(runController(settings, operators, packages, log));
  await Effect.runPromise(running).catch((error) => {
    const where = error instanceof ListenError ? { address: error.address, code: error.code } : {};
    log.error("can't run", { ...errorFields(error), ...where });
    process.exit(EXIT_CODES.cannotRun);
  });
};

const start = async (options: Options): Promise<void> => {
  const loaded = await loadFiles(options);
  if (!loaded.ok) {
    for (const fault of loaded.faults) process.stderr.write(`umberfold: ${fault}\n`);
    process.exitCode = EXIT_CODES.invalidSettings;
  } else if (options.check === true) process.stdout.write("settings are valid\n");
  else await serve(loaded.value);
};

/** Runs the program with `process.argv`. Resolves after `--check`, but not while it serves. */
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
