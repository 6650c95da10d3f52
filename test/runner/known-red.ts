/**
 * KNOWN-RED.txt lists tests that fail for a real fault that could not be mended yet: a line each,
 * `test | cause | issue`. They are run and printed like all others; only their failure is passed
 * over.
 */
export interface KnownRed {
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

export const MOST_KNOWN = 3;

export type Parsed =
  | { readonly ok: true; readonly known: readonly KnownRed[] }
  | { readonly ok: false; readonly reason: string };

export const parseKnownRed = (text: string): Parsed => {
  const lines = text.split("\n").filter((l) => l.trim() !== "");
  if (lines.length > MOST_KNOWN)
    return { ok: false, reason: `KNOWN-RED.txt: ${lines.length} lines, at most ${MOST_KNOWN}` };
  const known: KnownRed[] = [];
  for (const line of lines) {
    const parts = line.split("|").map((p) => p.trim());
    const [test = "", cause = "", issue = ""] = parts;
    if (parts.length !== 3 || test === "" || cause === "" || issue === "")
      return { ok: false, reason: `KNOWN-RED.txt: not "test | cause | issue": ${line}` };
    known.push({ test, cause, issue });
  }
  return { ok: true, known };
};

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
  const listed = new Set(known.map((k) => k.test));
  for (const k of known) {
    if (failed.includes(k.test)) lines.push(`known red: ${k.test}: ${k.cause} (${k.issue})`);
    else if (passed.includes(k.test)) lines.push(`listed as red, but passes: ${k.test}`);
    else lines.push(`listed as red, but not run: ${k.test}`);
  }
  const missing = known.some((k) => !failed.includes(k.test) && !passed.includes(k.test));
  const red = failed.filter((name) => !listed.has(name));
  for (const name of red) lines.push(`red: ${name}`);
  return { ok: red.length === 0 && passed.length + failed.length > 0 && !missing, lines };
};
