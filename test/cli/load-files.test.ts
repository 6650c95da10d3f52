import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import test from "node:test";
import { loadFiles } from "../../src/cli/load-files.js";

test("all faults of all files are reported at once, each with its file's name", async () => {
  const directory = mkdtempSync(path.join(tmpdir(), "load-files-"));
  try {
    const config = path.join(directory, "settings.toml");
    const operators = path.join(directory, "operators.hcl");
    const packages = path.join(directory, "missing.json");
    writeFileSync(config, "label = ");
    writeFileSync(operators, "fleet {\n headroom = -1\n margin = 200\n}\n");
    const loaded = await loadFiles({ config, operators, packages });
    assert.ok(!loaded.ok);
    const [toml, ...others] = loaded.faults;
    assert.ok(toml?.startsWith(`${config}: not TOML: `), toml);
    assert.deepEqual(others, [
      `${operators}: fleet.headroom: must be a number, 0 to 10, not -1`,
      `${operators}: fleet.margin: must be a number, 0.1 to 100, not 200`,
      `${packages}: can't be read: ENOENT`,
    ]);
  } finally {
    rmSync(directory, { recursive: true });
  }
});
