/**
 * Makes `target/umberfold.cjs`, the whole program in one file, and V8's code cache of it, which
 * `target/start.cjs` starts from; beside them a file for each package that is loaded on demand, and
 * `target/packages.json`, the packages' file in a form that is cheaper to read. It is run once the
 * sources are compiled.
 *
 * The cache is taken from a controller that ran on loopback for a moment, so that it also holds what
 * is compiled only when it is first called.
 */
import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import net from "node:net";
import { build } from "esbuild";
import { parse } from "smol-toml";
import { parseHcl } from "../target/config/hcl.js";
import { checkPackages } from "../target/config/packages.js";
import { minimalSettings } from "./minimal-settings.mjs";

const RUN_MS = 1500;
/** See `src/start.cts`. */
const CACHE_VARIABLE = "UMBERFOLD_WRITE_CACHE_AFTER_MS";
const LEVEL_VARIABLE = "LOG_LEVEL";

/** Packages that are loaded only where they are switched on, each from a file of its own. */
const PACKAGES = ["load-spread"];
const PACKAGES_FILE = "deploy/packages.hcl";
const SETTINGS_FILE = "target/build-settings.toml";
const START_FILE = "target/start.cjs";

/** Loaded on first use only, and large: they stay files of their own. */
const EXTERNAL = ["hcl2-parser", "hdr-histogram-js"];

const COMMON_OPTIONS = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  logLevel: "error",
};

/** Reading HCL takes half a second of processor time: a start reads what the build made of it. */
const compilePackagesFile = async () => {
  const parsed = await parseHcl(readFileSync(PACKAGES_FILE, "utf8"));
  const checked = parsed.ok ? checkPackages(parsed.value) : parsed;
  if (!checked.ok) {
    for (const fault of checked.faults) console.error(`${PACKAGES_FILE}: ${fault}`);
    process.exit(1);
  }
  writeFileSync("target/packages.json", JSON.stringify(parsed.value));
};

/** In the bundle a package's name stands for the file that the build makes of it. */
const packagesApart = {
  name: "packages-apart",
  setup: ({ onResolve }) => {
    for (const name of PACKAGES)
      onResolve({ filter: new RegExp(`^@umberfold/${name}$`) }, ({ kind }) =>
        kind === "entry-point" ? undefined : { path: `./packages/${name}.cjs`, external: true },
      );
  },
};

const bundlePackages = async () => {
  mkdirSync("target/packages", { recursive: true });
  for (const name of PACKAGES)
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
    plugins: [packagesApart],
    external: EXTERNAL,
    // A script that is started from a code cache has no `import()`; `require` does the same here.
    supported: { "dynamic-import": false },
    // Only cbor-x asks for it, to load an extension that isn't there and can be done without.
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

/** Of a controller that reaches nobody: nothing listens at the addresses of the services. */
const settings = async () =>
  minimalSettings({
    label: "build",
    front: await freeAddress(),
    internal: await freeAddress(),
    cloud: await freeAddress(),
    state: await freeAddress(),
  });

/** V8 takes a cache only under the flags it was made with: those of the deploy file. */
const startCommand = () => {
  const { run } = parse(readFileSync("deploy/service.toml", "utf8"));
  const [program, ...words] = run.split(" ");
  return { program, flags: words.slice(0, words.indexOf(START_FILE)) };
};

/** Without a cache the program only starts later, so that is no reason to fail the build. */
const writeCodeCache = async () => {
  writeFileSync(SETTINGS_FILE, await settings());
  const { program, flags } = startCommand();
  const finished = spawnSync(program, [...flags, START_FILE, "--config", SETTINGS_FILE], {
    stdio: ["ignore", "ignore", "inherit"],
    env: { ...process.env, [LEVEL_VARIABLE]: "error", [CACHE_VARIABLE]: String(RUN_MS) },
  });
  if (finished.status !== 0) console.error("bundle: no code cache was made; starts take longer");
};

await compilePackagesFile();
await bundlePackages();
await bundleProgram();
await writeCodeCache();
