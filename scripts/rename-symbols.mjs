#!/usr/bin/env node
/**
 * Renames symbols with the compiler's language service, so that every reference follows its type.
 *
 *   node scripts/rename-symbols.mjs TABLE
 *
 * Each line of TABLE names one declaration and its new name; one that begins with `# ` is a comment:
 *
 *   src/coordination/context.ts absorb applyToReplica          an exported or local name
 *   src/storage/store.ts:Store settle commitUntilKnown         a member of a class or an interface
 *
 * Names in comments, in log messages and on the wire are not touched.
 */
import { readFileSync, writeFileSync } from "node:fs";
import path from "node:path";
import ts from "typescript";

const PROJECT = "tsconfig.test.json";

const readProject = () => {
  const config = ts.readConfigFile(PROJECT, ts.sys.readFile);
  const parsed = ts.parseJsonConfigFileContent(config.config, ts.sys, process.cwd());
  return { options: { ...parsed.options, customConditions: undefined }, files: parsed.fileNames };
};

/** Packages are imported by name: their sources stand in for their builds, so that names follow. */
const packageSources = () =>
  ts.sys
    .getDirectories("packages")
    .flatMap((name) => ts.sys.readDirectory(`packages/${name}/src`, [".ts"]))
    .map((file) => path.resolve(file));

/** What the language service asks of the file system; texts and versions are the edited ones. */
const languageServiceHost = (options, files, textOf, versionOf) => ({
  getCompilationSettings: () => options,
  getScriptFileNames: () => files,
  getScriptVersion: (file) => String(versionOf(file)),
  getScriptSnapshot: (file) => {
    const text = textOf(file);
    return text === undefined ? undefined : ts.ScriptSnapshot.fromString(text);
  },
  getCurrentDirectory: () => process.cwd(),
  getDefaultLibFileName: (compilerOptions) => ts.getDefaultLibFilePath(compilerOptions),
  fileExists: ts.sys.fileExists,
  readFile: ts.sys.readFile,
  readDirectory: ts.sys.readDirectory,
  directoryExists: ts.sys.directoryExists,
  getDirectories: ts.sys.getDirectories,
  realpath: ts.sys.realpath,
});

/** Owns the texts of all files as they are after the renames so far, on disk and in memory. */
class RenameService {
  #texts = new Map();
  #versions = new Map();

  constructor() {
    const { options, files } = readProject();
    this.files = [...new Set([...files, ...packageSources()])];
    const host = languageServiceHost(
      options,
      this.files,
      (file) => this.text(file),
      (file) => this.#versions.get(file) ?? 0,
    );
    this.service = ts.createLanguageService(host);
  }

  /** The file's present text; undefined if there is no such file. */
  text(file) {
    if (!this.#texts.has(file)) this.#texts.set(file, ts.sys.readFile(file));
    return this.#texts.get(file);
  }

  #edit(file, spans, newName) {
    let text = this.text(file);
    for (const { textSpan, prefixText = "", suffixText = "" } of spans) {
      const end = textSpan.start + textSpan.length;
      text = text.slice(0, textSpan.start) + prefixText + newName + suffixText + text.slice(end);
    }
    this.#texts.set(file, text);
    this.#versions.set(file, (this.#versions.get(file) ?? 0) + 1);
    writeFileSync(file, text);
  }

  /**
   * Locals that carry the old name of a property only because of shorthand follow its new name:
   * `{ newName: oldName }` becomes `{ newName }`, unless the new name has another meaning there.
   */
  renameShorthandLocals(oldName, newName) {
    for (const file of this.files) while (this.#renameShorthandLocal(file, oldName, newName));
  }

  /** Whether one was found and its renaming changed the file. */
  #renameShorthandLocal(file, oldName, newName) {
    const local = this.#shorthandLocal(file, oldName, newName);
    if (local === undefined) return false;
    const before = this.text(file);
    this.rename(file, local, newName);
    this.#collapseShorthand(file, newName);
    return this.text(file) !== before;
  }

  #sourceFile(file) {
    return ts.createSourceFile(file, this.text(file), ts.ScriptTarget.Latest, true);
  }

  /** Where a local stands that could be renamed; undefined if there is none. */
  #shorthandLocal(file, oldName, newName) {
    if (!this.text(file)?.includes(`${newName}: ${oldName}`)) return undefined;
    let found;
    const visit = (node) => {
      if (found !== undefined) return;
      const local = aliasOf(node, oldName, newName);
      if (local !== undefined && !mentions(enclosingFunction(node), newName)) found = local;
      else ts.forEachChild(node, visit);
    };
    const sourceFile = this.#sourceFile(file);
    visit(sourceFile);
    return found?.getStart(sourceFile);
  }

  #collapseShorthand(file, name) {
    const sourceFile = this.#sourceFile(file);
    const spans = [];
    const visit = (node) => {
      const alias = aliasOf(node, name, name);
      if (alias !== undefined) {
        const start = (node.propertyName ?? node.name).getStart(sourceFile);
        spans.push({ textSpan: { start, length: alias.end - start } });
      }
      ts.forEachChild(node, visit);
    };
    visit(sourceFile);
    if (spans.length > 0) this.#edit(file, spans.reverse(), name);
  }

  /** Renames what stands at a position, wherever it is used. How many places were changed. */
  rename(file, position, newName) {
    const places = this.service.findRenameLocations(file, position, false, false, {
      providePrefixAndSuffixTextForRename: true,
    });
    if (places === undefined) return 0;
    for (const [fileName, spans] of placesByFile(places)) this.#edit(fileName, spans, newName);
    return places.length;
  }
}

/** The places of each file of ours, each once and the last first, so that edits don't shift others. */
const placesByFile = (places) => {
  const byFile = new Map();
  for (const place of places) {
    if (place.fileName.includes("node_modules")) continue;
    const spans = byFile.get(place.fileName) ?? [];
    if (!spans.some((span) => span.textSpan.start === place.textSpan.start)) spans.push(place);
    byFile.set(place.fileName, spans);
  }
  for (const spans of byFile.values()) spans.sort((a, b) => b.textSpan.start - a.textSpan.start);
  return byFile;
};

/** The local in `{ property: local }`, of an object literal or of a binding pattern. */
const aliasOf = (node, local, property) => {
  if (ts.isBindingElement(node) && node.propertyName !== undefined)
    return node.propertyName.getText() === property && node.name.getText() === local
      ? node.name
      : undefined;
  if (!ts.isPropertyAssignment(node) || !ts.isIdentifier(node.initializer)) return undefined;
  return node.name.getText() === property && node.initializer.text === local
    ? node.initializer
    : undefined;
};

/** The function around a node, arrow functions apart, or the whole file. */
const enclosingFunction = (node) => {
  let scope = node.parent;
  while (!ts.isSourceFile(scope) && !(ts.isFunctionLike(scope) && !ts.isArrowFunction(scope)))
    scope = scope.parent;
  return scope;
};

/** Whether an identifier names a property, which has nothing to do with values of that name. */
const isPropertyName = (identifier) => {
  const { parent } = identifier;
  return (
    (ts.isPropertyAccessExpression(parent) && parent.name === identifier) ||
    (ts.isPropertyAssignment(parent) && parent.name === identifier) ||
    (ts.isBindingElement(parent) && parent.propertyName === identifier) ||
    ts.isPropertySignature(parent) ||
    (ts.isMethodDeclaration(parent) && parent.name === identifier)
  );
};

/** Whether a name stands for a value anywhere within a function, other than as a property. */
const mentions = (scope, name) => {
  let found = false;
  const visit = (node) => {
    if (found) return;
    if (ts.isIdentifier(node) && node.text === name && !isPropertyName(node)) found = true;
    ts.forEachChild(node, visit);
  };
  visit(scope);
  return found;
};

const isDeclaration = (node) =>
  ts.isClassDeclaration(node) ||
  ts.isInterfaceDeclaration(node) ||
  ts.isTypeAliasDeclaration(node) ||
  ts.isFunctionDeclaration(node) ||
  ts.isVariableDeclaration(node) ||
  ts.isMethodDeclaration(node) ||
  ts.isMethodSignature(node) ||
  ts.isPropertyDeclaration(node) ||
  ts.isPropertySignature(node) ||
  ts.isGetAccessorDeclaration(node) ||
  ts.isParameter(node) ||
  ts.isPropertyAssignment(node);

/** The identifier that a node declares, if it declares one. */
const declaredName = (node) => {
  const { name } = node;
  if (!isDeclaration(node) || name === undefined) return undefined;
  return ts.isIdentifier(name) || ts.isPrivateIdentifier(name) ? name : undefined;
};

/** The first declaration of a name in a file, or within the container of that name. */
const findDeclaration = (sourceFile, container, name) => {
  let found;
  const visit = (node, inside) => {
    if (found !== undefined) return;
    const declared = declaredName(node);
    if (inside && declared?.text === name) {
      found = declared;
      return;
    }
    const entered = inside || (declared !== undefined && declared.text === container);
    ts.forEachChild(node, (child) => visit(child, entered));
  };
  visit(sourceFile, container === undefined);
  return found;
};

/** The lines of the table: where, the old name, the new one. */
const readTable = (file) =>
  readFileSync(file, "utf8")
    .split("\n")
    .map((line) => line.trim())
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map((line) => line.split(/\s+/));

/** Whether the declaration was found and renamed. */
const applyRename = (service, [place, oldName, newName]) => {
  const [relative, container] = place.split(":");
  const file = path.resolve(relative);
  const text = service.text(file);
  if (text === undefined) return false;
  const sourceFile = ts.createSourceFile(file, text, ts.ScriptTarget.Latest, true);
  const declaration = findDeclaration(sourceFile, container, oldName);
  if (declaration === undefined) return false;
  if (service.rename(file, declaration.getStart(sourceFile), newName) === 0) return false;
  service.renameShorthandLocals(oldName, newName);
  return true;
};

const renames = readTable(process.argv[2]);
const service = new RenameService();
let failed = 0;
for (const rename of renames) {
  if (applyRename(service, rename)) continue;
  console.error(`not renamed: ${rename[0]} ${rename[1]}`);
  failed++;
}
console.log(`${renames.length - failed} of ${renames.length} names changed`);
if (failed > 0) process.exitCode = 1;
