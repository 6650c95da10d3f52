/**
 * Which lists of known failing tests are valid, and which failures of a test run they excuse.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { judgeRun, parseKnownRed } from "./known-red.js";

const LISTED_TEST = "a | npm test, seed 7 | what was seen | issue 14";
const OUTSIDE_TEST = "a | npm run loopback -- --seed 7 | what was seen | issue 14";

const lists: readonly (readonly [string, string, number | null])[] = [
  ["an empty file", "", 0],
  ["blank lines are ignored", "\n\n", 0],
  ["one line", `${LISTED_TEST}\n`, 1],
  ["three lines", `${LISTED_TEST}\n${LISTED_TEST}\n${LISTED_TEST}\n`, 3],
  ["four lines", `${LISTED_TEST}\n${LISTED_TEST}\n${LISTED_TEST}\n${LISTED_TEST}\n`, null],
  ["a line without what was seen", "a | npm test | | issue 14", null],
  ["a line without a command", "a | | what was seen | issue 14", null],
  ["a line without an issue", "a | npm test | what was seen", null],
  ["a line in the earlier form", "a | the cause | issue 14", null],
];
test("a list of at most three known failing tests, each with all fields, is valid", () => {
  for (const [name, text, count] of lists) {
    const parsed = parseKnownRed(text);
    assert.equal(parsed.ok ? parsed.known.length : null, count, name);
  }
});

const runs: readonly (readonly [string, string, string[], string[], boolean, string])[] = [
  ["all tests pass", "", [], ["a"], true, ""],
  ["an unlisted test fails", "", ["a"], ["b"], false, "red: a"],
  ["a listed test fails", LISTED_TEST, ["a"], ["b"], true, "known red: a"],
  ["a listed and an unlisted test fail", LISTED_TEST, ["a", "b"], [], false, "red: b"],
  ["a listed test passes", LISTED_TEST, [], ["a"], true, "but passes: a"],
  ["a listed test was not run", LISTED_TEST, [], ["b"], false, "not run: a"],
  ["a test listed for another command", OUTSIDE_TEST, [], ["b"], true, "outside this run: a"],
  ["a test listed for another command fails here", OUTSIDE_TEST, ["a"], ["b"], false, "red: a"],
  ["what was seen is printed", LISTED_TEST, ["a"], [], true, "what was seen (npm test, seed 7"],
  ["no test was run", "", [], [], false, ""],
];
test("a run passes if only listed tests fail and all listed tests were run", () => {
  for (const [name, text, failed, passed, ok, line] of runs) {
    const parsed = parseKnownRed(text);
    assert.ok(parsed.ok);
    const verdict = judgeRun(parsed.known, failed, passed);
    assert.equal(verdict.ok, ok, name);
    assert.ok(verdict.lines.join("\n").includes(line), name);
  }
});
