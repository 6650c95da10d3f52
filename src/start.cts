/**
 * Starts the program from one file with V8's code cache, both made by `scripts/bundle.mjs`. Reading
 * and compiling some two hundred modules took three quarters of the processor time of a start,
 * which on a small share of a core is seconds in which a restarted controller serves nobody. A
 * cache that is missing, or was made by another version of Node, costs time and nothing else.
 */
import fs = require("node:fs");
import path = require("node:path");
import vm = require("node:vm");

import { createRequire } from "node:module";

const BUNDLE = path.join(__dirname, "umberfold.cjs");
const CACHE = path.join(__dirname, "umberfold.cache");
/** Set by the build: run for a while, write what was compiled by then, and end. */
const WRITE_CACHE_AFTER_MS = Number(process.env.UMBERFOLD_WRITE_CACHE_AFTER_MS ?? 0);

const isWritingCache = WRITE_CACHE_AFTER_MS > 0;

const readCache = (): Buffer | undefined => {
  try {
    return fs.readFileSync(CACHE);
  } catch {
    return undefined;
  }
};

/** What Node wraps around the source of a CommonJS module. */
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
