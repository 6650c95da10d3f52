/**
 * Which lists of known red tests are accepted, and which failures of a run they pass over.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { judgeRun, parseKnownRed } from "./known-red.js";

const RED = "a | the cause | issue 14";

const lists: readonly (readonly [string, string, number | null])[] = [
  ["an empty file is the ordinary state", "", 0],
  ["blank lines don't count", "\n\n", 0],
  ["one line", `${RED}\n`, 1],
  ["three lines", `${RED}\n${RED}\n${RED}\n`, 3],
  ["a fourth line fails", `${RED}\n${RED}\n${RED}\n${RED}\n`, null],
  ["a line without a cause", "a | | issue 14", null],
  ["a line without an issue", "a | the cause", null],
];
test("a list of at most three known red tests, each with cause and issue, is accepted", () => {
  for (const [name, text, count] of lists) {
    const parsed = parseKnownRed(text);
    assert.equal(parsed.ok ? parsed.known.length : null, count, name);
  }
});

const runs: readonly (readonly [string, string, string[], string[], boolean, string])[] = [
  ["all green", "", [], ["a"], true, ""],
  ["one red", "", ["a"], ["b"], false, "red: a"],
  ["its listed failure is passed over", RED, ["a"], ["b"], true, "known red: a"],
  ["another's is not", RED, ["a", "b"], [], false, "red: b"],
  ["listed, but it passes", RED, [], ["a"], true, "but passes: a"],
  ["listed, but not run", RED, [], ["b"], false, "not run: a"],
  ["nothing was run", "", [], [], false, ""],
];
test("a run passes if it fails at listed tests alone, and all of these were run", () => {
  for (const [name, text, failed, passed, ok, line] of runs) {
    const parsed = parseKnownRed(text);
    assert.ok(parsed.ok);
    const verdict = judgeRun(parsed.known, failed, passed);
    assert.equal(verdict.ok, ok, name);
    assert.ok(verdict.lines.join("\n").includes(line), name);
  }
});
