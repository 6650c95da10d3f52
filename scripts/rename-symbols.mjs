#!/usr/bin/env node
/**
 * Renames symbols with TypeScript's language service, which finds all references by type.
 *
 *   node scripts/rename-symbols.mjs TABLE
 *
 * Each line of TABLE names one declaration and its new name; lines that begin with `#` are
 * comments:
 *
 *   src/coordination/context.ts absorb applyToReplica          an exported or local name
 *   src/storage/store.ts:Store settle commitUntilKnown         a member of a class or an interface
 *
 * Names in comments, log messages and messages on the wire are not renamed.
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

/**
 * The sources of the packages. Packages are imported by name; including their sources instead of
 * their compiled files renames symbols in them too.
 */
const packageSources = () =>
  ts.sys
    .getDirectories("packages")
    .flatMap((name) => ts.sys.readDirectory(`packages/${name}/src`, [".ts"]))
    .map((file) => path.resolve(file));

/** The host of the language service. File texts and versions include the edits so far. */
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

/** Applies renames. Owns the current texts of all files, and writes each edit to disk. */
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

  /** The current text of a file; undefined if it does not exist. */
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
   * After the rename of a property, also renames local variables that had its old name in
   * shorthand: `{ newName: oldName }` becomes `{ newName }`, unless the new name is already used in
   * that scope.
   */
  renameShorthandLocals(oldName, newName) {
    for (const file of this.files) while (this.#renameShorthandLocal(file, oldName, newName));
  }

  /** Whether a local was found and its rename changed the file. */
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

  /** The position of a local to rename; undefined if there is none. */
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

  /** Renames the symbol at a position everywhere. Returns the number of changed locations. */
  rename(file, position, newName) {
    const locations = this.service.findRenameLocations(file, position, false, false, {
      providePrefixAndSuffixTextForRename: true,
    });
    if (locations === undefined) return 0;
    for (const [fileName, spans] of locationsByFile(locations))
      this.#edit(fileName, spans, newName);
    return locations.length;
  }
}

/**
 * Groups the locations by file, without duplicates and without `node_modules`. The last location of
 * a file comes first, so that an edit doesn't shift the others.
 */
const locationsByFile = (locations) => {
  const byFile = new Map();
  for (const location of locations) {
    if (location.fileName.includes("node_modules")) continue;
    const spans = byFile.get(location.fileName) ?? [];
    if (!spans.some((span) => span.textSpan.start === location.textSpan.start))
      spans.push(location);
    byFile.set(location.fileName, spans);
  }
  for (const spans of byFile.values()) spans.sort((a, b) => b.textSpan.start - a.textSpan.start);
  return byFile;
};

/** The local in `{ property: local }`, in an object literal or a binding pattern. */
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

/** The innermost enclosing function of a node, ignoring arrow functions, or the whole file. */
const enclosingFunction = (node) => {
  let scope = node.parent;
  while (!ts.isSourceFile(scope) && !(ts.isFunctionLike(scope) && !ts.isArrowFunction(scope)))
    scope = scope.parent;
  return scope;
};

/** Whether an identifier is a property name, which doesn't refer to a value in scope. */
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

/** Whether a name is used in a scope, other than as a property name. */
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

/** The identifier that a node declares; undefined if it declares none. */
const declaredName = (node) => {
  const { name } = node;
  if (!isDeclaration(node) || name === undefined) return undefined;
  return ts.isIdentifier(name) || ts.isPrivateIdentifier(name) ? name : undefined;
};

/** The first declaration of a name in a file, or in the given class or interface. */
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

/** The entries of the table: declaration site, old name, new name. */
const readTable = (file) =>
  readFileSync(file, "utf8")
    .split("\n")
    .map((line) => line.trim())
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map((line) => line.split(/\s+/));

/** Whether the declaration was found and renamed. */
const applyRename = (service, [site, oldName, newName]) => {
  const [relative, container] = site.split(":");
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
  console.error(`not renamed: ${rename[0]} ${rename[1]}: declaration or references not found`);
  failed++;
}
console.log(`${renames.length - failed} of ${renames.length} names renamed`);
if (failed > 0) process.exitCode = 1;
