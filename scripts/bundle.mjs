/**
 * Makes `target/umberfold.cjs`, the whole program in one file, and V8's code cache of it, which
 * `target/start.cjs` starts from. The cache is taken from a controller that ran on loopback for a
 * moment, so that it also holds what is compiled only when it is first called.
 */
import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import net from "node:net";
import { build } from "esbuild";
import { parse } from "smol-toml";

const RUN_MS = 1500;
/** See `src/start.cts`. */
const CACHE_VARIABLE = "UMBERFOLD_WRITE_CACHE_AFTER_MS";
const LEVEL_VARIABLE = "LOG_LEVEL";

/** Packages that are loaded only where they are switched on, each from a file of its own. */
const PACKAGES = ["load-spread"];
const PACKAGES_FILE = "deploy/packages.hcl";

/** Loaded on first use only, and large: they stay files of their own. */
const EXTERNAL = ["hcl2-parser", "hdr-histogram-js"];

const { checkPackages } = await import("../target/config/packages.js");
const { parseHcl } = await import("../target/config/hcl.js");

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
await compilePackagesFile();

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

mkdirSync("target/packages", { recursive: true });
for (const name of PACKAGES)
  await build({
    entryPoints: [`target/packages/${name}/index.js`],
    outfile: `target/packages/${name}.cjs`,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    logLevel: "error",
  });

await build({
  entryPoints: ["target/main.js"],
  outfile: "target/umberfold.cjs",
  plugins: [packagesApart],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  external: EXTERNAL,
  // A script that is started from a code cache has no `import()`; `require` does the same here.
  supported: { "dynamic-import": false },
  // Only cbor-x asks for it, to load an extension that isn't there and can be done without.
  define: { "import.meta.url": "undefined" },
  logLevel: "error",
});

const freePort = () =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const settings = async () => `
label = "build"
area = "build"
front = "127.0.0.1:${await freePort()}"
internal_addr = "127.0.0.1:${await freePort()}"
[services]
cloud = "127.0.0.1:${await freePort()}"
state = "127.0.0.1:${await freePort()}"
[params]
size = 1
zones = ["build"]
[params.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 40.0
[params.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 16
[params.cloud]
rps = 1.0
[params.resources]
`;

writeFileSync("target/build-settings.toml", await settings());
// V8 takes a cache only under the flags it was made with: those of the deploy file.
const [program, ...words] = parse(readFileSync("deploy/service.toml", "utf8")).run.split(" ");
const flags = words.slice(0, words.indexOf("target/start.cjs"));
const made = spawnSync(
  program,
  [...flags, "target/start.cjs", "--config", "target/build-settings.toml"],
  {
    stdio: ["ignore", "ignore", "inherit"],
    env: { ...process.env, [LEVEL_VARIABLE]: "error", [CACHE_VARIABLE]: String(RUN_MS) },
  },
);
if (made.status !== 0) console.error("bundle: no code cache was made; starts take longer");
