/**
 * Preloaded with `--require` by `compare-processor-time.mjs`. When the process exits, writes the
 * processor time that it used, in microseconds as JSON, to file descriptor 3.
 */
const { writeSync } = require("node:fs");

const REPORT_DESCRIPTOR = 3;

process.on("exit", () => {
  writeSync(REPORT_DESCRIPTOR, JSON.stringify(process.cpuUsage()));
});
