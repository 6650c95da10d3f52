/**
 * Starts the program from a single bundled file with V8's code cache; `scripts/bundle.mjs` makes
 * both. Reading and compiling some two hundred modules took three quarters of the processor time of
 * a start: on a small fraction of a core that is seconds in which a restarted controller serves no
 * requests. If the cache is missing, or was made by another version of Node, the start only takes
 * longer.
 */
import fs = require("node:fs");
import path = require("node:path");
import vm = require("node:vm");

import { createRequire } from "node:module";

const BUNDLE = path.join(__dirname, "umberfold.cjs");
const CACHE = path.join(__dirname, "umberfold.cache");
/**
 * If set, by the build: runs for this long, writes the code compiled so far to the cache, exits.
 */
const WRITE_CACHE_AFTER_MS = Number(process.env.UMBERFOLD_WRITE_CACHE_AFTER_MS ?? 0);

const isWritingCache = WRITE_CACHE_AFTER_MS > 0;

const readCache = (): Buffer | undefined => {
  try {
    return fs.readFileSync(CACHE);
  } catch {
    return undefined;
  }
};

/** The function that Node wraps around the source of a CommonJS module. */
type ModuleWrapper = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  dirname: string,
) => void;

const compileBundle = (): vm.Script => {
  const source = fs.readFileSync(BUNDLE, "utf8").replace(/^#!.*/, "");
  const cachedData = isWritingCache ? undefined : readCache();
  return new vm.Script(
    `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
    { filename: BUNDLE, ...(cachedData === undefined ? {} : { cachedData }) },
  );
};

const script = compileBundle();
const bundle = { exports: {} };
const run = script.runInThisContext() as ModuleWrapper;
run(bundle.exports, createRequire(BUNDLE), bundle, BUNDLE, __dirname);

if (isWritingCache)
  setTimeout(() => {
    fs.writeFileSync(CACHE, script.createCachedData());
    process.exit(0);
  }, WRITE_CACHE_AFTER_MS);
