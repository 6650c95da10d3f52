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
test("the list of known red tests", () => {
  for (const [name, text, n] of lists) {
    const p = parseKnownRed(text);
    assert.equal(p.ok ? p.known.length : null, n, name);
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
test("what a run comes to", () => {
  for (const [name, text, failed, passed, ok, line] of runs) {
    const p = parseKnownRed(text);
    assert.ok(p.ok);
    const v = judgeRun(p.known, failed, passed);
    assert.equal(v.ok, ok, name);
    assert.ok(v.lines.join("\n").includes(line), name);
  }
});
