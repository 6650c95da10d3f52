/**
 * Builds the files that `target/start.cjs` loads, from the compiled sources:
 *
 * - `target/umberfold.cjs`, the whole program in one file, and its V8 code cache
 * - a file for each package that is loaded on demand
 * - `target/packages.json`, the packages' file as JSON, which is cheaper to parse
 *
 * The code cache is written by a controller that runs briefly on loopback. So it also contains
 * functions that V8 compiles lazily, on their first call.
 */
import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import net from "node:net";
import { build } from "esbuild";
import { parse } from "smol-toml";
import { parseHcl } from "../target/config/hcl.js";
import { checkPackages } from "../target/config/packages.js";
import { minimalSettings } from "./minimal-settings.mjs";

/** How long the controller runs before it writes the code cache. */
const CACHE_DELAY_MS = 1500;
/** See `src/start.cts`. */
const CACHE_VARIABLE = "UMBERFOLD_WRITE_CACHE_AFTER_MS";
const LEVEL_VARIABLE = "LOG_LEVEL";

/** Packages that are loaded only if they are enabled, each from a file of its own. */
const ON_DEMAND_PACKAGES = ["load-spread"];
const PACKAGES_FILE = "deploy/packages.hcl";
const SETTINGS_FILE = "target/build-settings.toml";
const START_FILE = "target/start.cjs";

/** Large dependencies that are loaded on first use; they are not bundled. */
const EXTERNAL_MODULES = ["hcl2-parser", "hdr-histogram-js"];

const COMMON_OPTIONS = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  logLevel: "error",
};

/**
 * Converts the packages' file to JSON, which the program reads at start. Parsing HCL would take
 * half a second of processor time.
 */
const compilePackagesFile = async () => {
  const parsed = await parseHcl(readFileSync(PACKAGES_FILE, "utf8"));
  const checked = parsed.ok ? checkPackages(parsed.value) : parsed;
  if (!checked.ok) {
    for (const fault of checked.faults) console.error(`${PACKAGES_FILE}: ${fault}`);
    process.exit(1);
  }
  writeFileSync("target/packages.json", JSON.stringify(parsed.value));
};

/** In the bundle, resolves the name of an on-demand package to the file that the build writes. */
const onDemandPackagesPlugin = {
  name: "on-demand-packages",
  setup: ({ onResolve }) => {
    for (const name of ON_DEMAND_PACKAGES)
      onResolve({ filter: new RegExp(`^@umberfold/${name}$`) }, ({ kind }) =>
        kind === "entry-point" ? undefined : { path: `./packages/${name}.cjs`, external: true },
      );
  },
};

const bundlePackages = async () => {
  mkdirSync("target/packages", { recursive: true });
  for (const name of ON_DEMAND_PACKAGES)
    await build({
      ...COMMON_OPTIONS,
      entryPoints: [`target/packages/${name}/index.js`],
      outfile: `target/packages/${name}.cjs`,
    });
};

const bundleProgram = () =>
  build({
    ...COMMON_OPTIONS,
    entryPoints: ["target/main.js"],
    outfile: "target/umberfold.cjs",
    plugins: [onDemandPackagesPlugin],
    external: EXTERNAL_MODULES,
    // A script run from a code cache doesn't support `import()`; `require` is equivalent here.
    supported: { "dynamic-import": false },
    // Only cbor-x reads it, to load an optional native extension that is not installed.
    define: { "import.meta.url": "undefined" },
  });

const freePort = () =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const freeAddress = async () => `127.0.0.1:${await freePort()}`;

/** Settings of a controller without reachable services: nothing listens at their addresses. */
const settings = async () =>
  minimalSettings({
    label: "build",
    front: await freeAddress(),
    internal: await freeAddress(),
    cloud: await freeAddress(),
    state: await freeAddress(),
  });

/** Reads Node's flags in the deploy file: V8 rejects a code cache created with other flags. */
const startCommand = () => {
  const { run } = parse(readFileSync("deploy/service.toml", "utf8"));
  const [program, ...args] = run.split(" ");
  return { program, flags: args.slice(0, args.indexOf(START_FILE)) };
};

/** A failure doesn't fail the build: without a code cache, the program only starts more slowly. */
const writeCodeCache = async () => {
  writeFileSync(SETTINGS_FILE, await settings());
  const { program, flags } = startCommand();
  const finished = spawnSync(program, [...flags, START_FILE, "--config", SETTINGS_FILE], {
    stdio: ["ignore", "ignore", "inherit"],
    env: { ...process.env, [LEVEL_VARIABLE]: "error", [CACHE_VARIABLE]: String(CACHE_DELAY_MS) },
  });
  if (finished.status !== 0)
    console.error("bundle: writing the code cache failed; the program will start more slowly");
};

await compilePackagesFile();
await bundlePackages();
await bundleProgram();
await writeCodeCache();
