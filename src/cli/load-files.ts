/**
 * Reads the files given on the command line: the platform's, the operators' and the packages'
 * settings.
 *
 * All files are read even if one has faults, so that all faults are reported at once. Each fault
 * begins with the name of its file.
 */
import { readFileSync } from "node:fs";
import { type Checked, checked } from "../config/checked.js";
import { defaultOperators, type Operators, parseOperators } from "../config/operators.js";
import {
  checkShardCount,
  defaultPackages,
  type PackageSettings,
  parsePackages,
} from "../config/packages.js";
import { parseSettings, type Settings } from "../config/settings.js";

/** The files' names; defaults apply instead of an optional file that isn't given. */
export interface FileNames {
  readonly config: string;
  readonly operators?: string;
  readonly packages?: string;
}

/** The settings from all files. */
export interface LoadedFiles {
  readonly settings: Settings;
  readonly operators: Operators;
  readonly packages: PackageSettings;
}

/** A file's text, or the reason why it can't be read. */
export const readText = (file: string): Checked<string> => {
  try {
    return { ok: true, value: readFileSync(file, "utf8") };
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return { ok: false, faults: [`can't be read: ${code ?? error}`] };
  }
};

const withFileName = <T>(file: string, result: Checked<T>): Checked<T> =>
  result.ok ? result : { ok: false, faults: result.faults.map((fault) => `${file}: ${fault}`) };

const loadSettings = (file: string): Checked<Settings> => {
  const text = readText(file);
  return withFileName(file, text.ok ? parseSettings(text.value) : text);
};

const loadOperators = async (file: string | undefined): Promise<Checked<Operators>> => {
  if (file === undefined) return { ok: true, value: defaultOperators() };
  const text = readText(file);
  return withFileName(file, text.ok ? await parseOperators(text.value) : text);
};

/** If the platform's settings are invalid, the packages' are not checked against them. */
const loadPackages = async (
  file: string | undefined,
  settings: Checked<Settings>,
): Promise<Checked<PackageSettings>> => {
  if (file === undefined) return { ok: true, value: defaultPackages() };
  const text = readText(file);
  const packages = text.ok ? await parsePackages(file, text.value) : text;
  if (!packages.ok || !settings.ok) return withFileName(file, packages);
  const faults = checkShardCount(packages.value, settings.value.shardCount);
  return withFileName(file, checked(packages.value, faults));
};

/** The settings from all files, or all faults found in them. */
export const loadFiles = async (names: FileNames): Promise<Checked<LoadedFiles>> => {
  const settings = loadSettings(names.config);
  const operators = await loadOperators(names.operators);
  const packages = await loadPackages(names.packages, settings);
  if (settings.ok && operators.ok && packages.ok)
    return {
      ok: true,
      value: { settings: settings.value, operators: operators.value, packages: packages.value },
    };
  const results = [settings, operators, packages];
  return { ok: false, faults: results.flatMap((result) => (result.ok ? [] : result.faults)) };
};
