/** Machine types, objectives and jobs for the tests of this folder. */
import { type JobId, jobId, teamName, wallClockMs } from "@umberfold/ids";
import type { Objective } from "../../src/config/settings.js";
import type { MachineType } from "../../src/protocol/cloud.js";
import type { Priority } from "../../src/protocol/jobs.js";
import { type LiveJob, newJob } from "../../src/storage/records.js";

const machineType = (
  name: string,
  cpus: number,
  price: number,
  spotPrice: number,
): MachineType => ({
  name,
  capacity: { cpus, gpus: 0, ramGb: cpus * 4 },
  cacheGb: 30,
  fetchGbPerS: 1,
  price,
  spotPrice,
  bootS: 40,
  zones: ["a", "b"],
});

/** The machine type with the lower price per processor. */
export const SMALL = machineType("small", 8, 0.36, 0.15);
export const LARGE = machineType("large", 16, 0.8, 0.32);

export const OBJECTIVES: readonly Objective[] = [
  { kind: "wait", jobClass: "fast", withinS: 8, share: 0.95, times: null },
  { kind: "finished", jobClass: "slow", withinS: 250, share: 0.95, times: null },
  { kind: "guarantee", jobClass: null, withinS: 10, share: 0.9, times: null },
];

interface JobOptions {
  readonly jobClass?: string;
  readonly priority?: Priority;
  readonly tasks?: number;
  readonly deadlineS?: number | null;
  readonly cpus?: number;
}

/** A job of team `t`, accepted at this wall-clock time in ms, without any attempts. */
export const job = (
  id: string,
  acceptedAt: number,
  options: JobOptions = {},
): readonly [JobId, LiveJob] => [
  jobId(id),
  newJob(
    {
      id: jobId(id),
      jobClass: options.jobClass ?? "slow",
      team: teamName("t"),
      priority: options.priority ?? "normal",
      taskCount: options.tasks ?? 1,
      resources: { cpus: options.cpus ?? 8, gpus: 0, ramGb: 1 },
      image: "i",
      imageGb: 1,
      machineTypes: null,
      zone: null,
      zoneAffinity: false,
      spreadAcrossZones: false,
      spotAllowed: true,
      expectedRunS: 30,
      checkpointIntervalS: 0,
      checkpointSaveS: 0,
      deadlineS: options.deadlineS ?? null,
    },
    wallClockMs(acceptedAt),
  ),
];
