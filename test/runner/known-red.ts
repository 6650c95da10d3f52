/**
 * Reads KNOWN-RED.txt, which lists tests that fail because of a real fault that is not fixed yet,
 * one per line as `test | cause | issue`. Listed tests are run and reported like all others, but
 * their failure does not fail the run.
 */

/** A listed test, the cause of its failure and the issue that tracks it. */
export interface KnownRed {
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

/** Most tests that may be listed at a time. */
export const MAX_KNOWN_RED = 3;

/** The parsed list, or the reason why it is invalid. */
export type ParsedKnownRed =
  | { readonly ok: true; readonly known: readonly KnownRed[] }
  | { readonly ok: false; readonly reason: string };

/** Parses the list; blank lines are ignored. */
export const parseKnownRed = (text: string): ParsedKnownRed => {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  if (lines.length > MAX_KNOWN_RED)
    return { ok: false, reason: `KNOWN-RED.txt: ${lines.length} lines, at most ${MAX_KNOWN_RED}` };
  const known: KnownRed[] = [];
  for (const line of lines) {
    const parts = line.split("|").map((part) => part.trim());
    const [test = "", cause = "", issue = ""] = parts;
    if (parts.length !== 3 || test === "" || cause === "" || issue === "")
      return { ok: false, reason: `KNOWN-RED.txt: not "test | cause | issue": ${line}` };
    known.push({ test, cause, issue });
  }
  return { ok: true, known };
};

/** Whether a run passes, and report lines on listed and on failed tests. */
export interface Verdict {
  readonly ok: boolean;
  readonly lines: readonly string[];
}

/**
 * Judges a run. It passes if at least one test was run, all listed tests were run and no unlisted
 * test failed. A listed test that passes is reported, so that it can be removed from the list.
 */
export const judgeRun = (
  known: readonly KnownRed[],
  failed: readonly string[],
  passed: readonly string[],
): Verdict => {
  const lines: string[] = [];
  const listed = new Set(known.map(({ test }) => test));
  for (const { test, cause, issue } of known) {
    if (failed.includes(test)) lines.push(`known red: ${test}: ${cause} (${issue})`);
    else if (passed.includes(test)) lines.push(`listed as red, but passes: ${test}`);
    else lines.push(`listed as red, but not run: ${test}`);
  }
  const isListedTestNotRun = known.some(
    ({ test }) => !failed.includes(test) && !passed.includes(test),
  );
  const unlistedFailures = failed.filter((name) => !listed.has(name));
  for (const name of unlistedFailures) lines.push(`red: ${name}`);
  return {
    ok: unlistedFailures.length === 0 && passed.length + failed.length > 0 && !isListedTestNotRun,
    lines,
  };
};
