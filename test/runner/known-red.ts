/**
 * KNOWN-RED.txt lists tests that fail for a real fault that could not be mended yet: a line each,
 * `test | cause | issue`. They are run and printed like all others; only their failure is passed
 * over.
 */

/** One line of the list. */
export interface KnownRed {
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

/** So many tests may be listed. */
export const MAX_KNOWN_RED = 3;

/** The list, or why it can't be read. */
export type Parsed =
  | { readonly ok: true; readonly known: readonly KnownRed[] }
  | { readonly ok: false; readonly reason: string };

/** Reads the list; blank lines don't count. */
export const parseKnownRed = (text: string): Parsed => {
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

/** What a run comes to, and the lines that say so. */
export interface Verdict {
  readonly ok: boolean;
  readonly lines: readonly string[];
}

/** Only a listed test's failure is passed over; one that passes though listed is said so. */
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
  const isMissing = known.some(({ test }) => !failed.includes(test) && !passed.includes(test));
  const red = failed.filter((name) => !listed.has(name));
  for (const name of red) lines.push(`red: ${name}`);
  return { ok: red.length === 0 && passed.length + failed.length > 0 && !isMissing, lines };
};
