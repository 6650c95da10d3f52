import assert from "node:assert/strict";
import test from "node:test";
import { parseUserPath, type UserRequestTarget } from "../../src/protocol/user-paths.js";

const cases: readonly (readonly [path: string, target: UserRequestTarget])[] = [
  ["/ready", { kind: "readiness" }],
  ["/work", { kind: "submission" }],
  ["/work/wk-1", { kind: "status", id: "wk-1" }],
  ["/work/", { kind: "status", id: "" }],
  ["/work/wk-1/withdraw", { kind: "cancellation", id: "wk-1" }],
  ["/work/wk-1/", { kind: "unknown" }],
  ["/work/wk-1/resume", { kind: "unknown" }],
  ["/work/wk-1/withdraw/now", { kind: "unknown" }],
  ["/ready/", { kind: "unknown" }],
  ["/works", { kind: "unknown" }],
  ["/", { kind: "unknown" }],
  ["", { kind: "unknown" }],
];
for (const [path, target] of cases)
  test(`the path "${path}" is parsed as ${target.kind}`, () => {
    assert.deepEqual(parseUserPath(path), target);
  });
