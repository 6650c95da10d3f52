/** `JobIndex.jobsWithinGuarantee`: which jobs are within their team's guarantee. */
import assert from "node:assert/strict";
import test from "node:test";
import { teamName } from "@umberfold/ids";
import { JobIndex } from "../../src/storage/job-index.js";
import { job } from "../scheduling/fixtures.js";

test("a team's earliest jobs are within its guarantee, up to the first that exceeds it", () => {
  const team = { name: teamName("t"), cpus: 32, gpus: 0, cpusMax: 96, gpusMax: 0 };
  const teams = new Map([[team.name, team]]);
  const jobs = [job("wk-3", 3), job("wk-1", 1, { tasks: 2 }), job("wk-2", 2, { tasks: 2 })];
  const index = new JobIndex();
  for (const [id, live] of jobs) index.replace(id, undefined, live);
  assert.deepEqual([...index.jobsWithinGuarantee(teams.values())].sort(), ["wk-1", "wk-2"]);
});
