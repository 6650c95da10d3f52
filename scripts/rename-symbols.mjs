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

class RenameService {
  #texts = new Map();
  #versions = new Map();

  constructor() {
    const { options, files } = readProject();
    this.files = [...new Set([...files, ...packageSources()])];
    const host = {
      getCompilationSettings: () => options,
      getScriptFileNames: () => this.files,
      getScriptVersion: (file) => String(this.#versions.get(file) ?? 0),
      getScriptSnapshot: (file) => {
        const text = this.text(file);
        return text === undefined ? undefined : ts.ScriptSnapshot.fromString(text);
      },
      getCurrentDirectory: () => process.cwd(),
      getDefaultLibFileName: (some) => ts.getDefaultLibFilePath(some),
      fileExists: ts.sys.fileExists,
      readFile: ts.sys.readFile,
      readDirectory: ts.sys.readDirectory,
      directoryExists: ts.sys.directoryExists,
      getDirectories: ts.sys.getDirectories,
      realpath: ts.sys.realpath,
    };
    this.service = ts.createLanguageService(host);
  }

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
    for (const file of this.files)
      for (let local = this.#shorthandLocal(file, oldName, newName); local !== undefined; ) {
        const before = this.text(file);
        this.rename(file, local, newName);
        this.#collapseShorthand(file, newName);
        local =
          this.text(file) === before ? undefined : this.#shorthandLocal(file, oldName, newName);
      }
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
      if (alias !== undefined)
        spans.push({
          textSpan: {
            start: (node.propertyName ?? node.name).getStart(sourceFile),
            length: alias.end - (node.propertyName ?? node.name).getStart(sourceFile),
          },
        });
      ts.forEachChild(node, visit);
    };
    visit(sourceFile);
    if (spans.length > 0) this.#edit(file, spans.reverse(), name);
  }

  /** How many places were changed. */
  rename(file, position, newName) {
    const places = this.service.findRenameLocations(file, position, false, false, {
      providePrefixAndSuffixTextForRename: true,
    });
    if (places === undefined) return 0;
    const byFile = new Map();
    for (const place of places) {
      if (place.fileName.includes("node_modules")) continue;
      const spans = byFile.get(place.fileName) ?? [];
      if (!spans.some((span) => span.textSpan.start === place.textSpan.start)) spans.push(place);
      byFile.set(place.fileName, spans);
    }
    for (const [name, spans] of byFile)
      this.#edit(
        name,
        spans.sort((a, b) => b.textSpan.start - a.textSpan.start),
        newName,
      );
    return places.length;
  }
}

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

const enclosingFunction = (node) => {
  let at = node.parent;
  while (!ts.isSourceFile(at) && !(ts.isFunctionLike(at) && !ts.isArrowFunction(at)))
    at = at.parent;
  return at;
};

/** Whether a name stands for a value anywhere within a function, other than as a property. */
const mentions = (scope, name) => {
  let found = false;
  const visit = (node) => {
    if (found) return;
    if (ts.isIdentifier(node) && node.text === name) {
      const { parent } = node;
      const property =
        (ts.isPropertyAccessExpression(parent) && parent.name === node) ||
        (ts.isPropertyAssignment(parent) && parent.name === node) ||
        (ts.isBindingElement(parent) && parent.propertyName === node) ||
        ts.isPropertySignature(parent) ||
        (ts.isMethodDeclaration(parent) && parent.name === node);
      if (!property) found = true;
    }
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

/** The first declaration of a name in a file, or within the container of that name. */
const findDeclaration = (sourceFile, container, name) => {
  let found;
  const visit = (node, inside) => {
    if (found !== undefined) return;
    const own = node.name;
    const declares =
      isDeclaration(node) &&
      own !== undefined &&
      (ts.isIdentifier(own) || ts.isPrivateIdentifier(own));
    if (declares && inside && own.text === name) {
      found = own;
      return;
    }
    const entered = inside || (declares && own.text === container);
    ts.forEachChild(node, (child) => visit(child, entered));
  };
  visit(sourceFile, container === undefined);
  return found;
};

const renames = readFileSync(process.argv[2], "utf8")
  .split("\n")
  .map((line) => line.trim())
  .filter((line) => line !== "" && !line.startsWith("#"))
  .map((line) => line.split(/\s+/));
const service = new RenameService();
let failed = 0;
for (const [place, oldName, newName] of renames) {
  const [relative, container] = place.split(":");
  const file = path.resolve(relative);
  const text = service.text(file);
  const sourceFile =
    text === undefined ? undefined : ts.createSourceFile(file, text, ts.ScriptTarget.Latest, true);
  const declaration =
    sourceFile === undefined ? undefined : findDeclaration(sourceFile, container, oldName);
  const count =
    declaration === undefined ? 0 : service.rename(file, declaration.getStart(sourceFile), newName);
  if (count > 0) service.renameShorthandLocals(oldName, newName);
  else {
    console.error(`not renamed: ${place} ${oldName}`);
    failed++;
  }
}
console.log(`${renames.length - failed} of ${renames.length} names changed`);
if (failed > 0) process.exitCode = 1;
