import type { Checked } from "./settings.js";

/**
 * Reads HCL into a map; blocks become lists. The library costs half a second of processor time to
 * load, so that is left until there is a file.
 */
export const parseHcl = async (
  source: string,
): Promise<Checked<Readonly<Record<string, unknown>>>> => {
  const hcl = (await import("hcl2-parser")).default as {
    parseToObject: (s: string) => readonly [unknown, unknown];
  };
  try {
    const [value, error] = hcl.parseToObject(source);
    if (error !== null && error !== undefined) return { ok: false, faults: [`not HCL: ${error}`] };
    if (typeof value !== "object" || value === null) return { ok: false, faults: ["not HCL"] };
    return { ok: true, value: value as Readonly<Record<string, unknown>> };
  } catch (e) {
    return { ok: false, faults: [`not HCL: ${String(e).split("\n")[0]}`] };
  }
};
