import { type JobId, jobId, type TeamName, teamName } from "@umberfold/ids";
import { amount, count, type Fields, isMap, list, text } from "./cbor.js";

export const PRIORITIES = ["production", "high", "normal", "best_effort"] as const;
export type Priority = (typeof PRIORITIES)[number];
/** 0 is the most urgent. */
export const priorityOrder = (rank: Priority): number => PRIORITIES.indexOf(rank);

export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly ramGb: number;
}

/** What a user asks for, in the field's terms. */
export interface JobSpec {
  readonly id: JobId;
  readonly jobClass: string;
  readonly team: TeamName;
  readonly priority: Priority;
  readonly taskCount: number;
  readonly resources: Resources;
  readonly image: string;
  readonly imageGb: number;
  readonly machineTypes: readonly string[] | null;
  readonly zone: string | null;
  readonly zoneAffinity: boolean;
  readonly spreadAcrossZones: boolean;
  readonly spotAllowed: boolean;
  readonly expectedRunS: number;
  readonly checkpointIntervalS: number;
  readonly checkpointSaveS: number;
  readonly deadlineS: number | null;
}

export type JobPhase = "queued" | "running" | "done" | "cancelled";

export interface JobStatus {
  readonly id: JobId;
  readonly phase: JobPhase;
  readonly done: number;
  readonly running: number;
}

export const MAX_TASKS = 100_000;
const JOB_ID = /^wk-[0-9]{1,18}$/;

export const isJobId = (s: string): boolean => JOB_ID.test(s);

export type ParseResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly reason: string };

const bad = (reason: string): { ok: false; reason: string } => ({ ok: false, reason });
const absent = (v: unknown): boolean => v === null || v === undefined;
const flag = (v: unknown): boolean | undefined => (typeof v === "boolean" ? v : undefined);

/** The job that a submission names, whatever else may be wrong with it. */
export const submissionId = (body: unknown): JobId | undefined => {
  const id = isMap(body) ? text(body.uid) : undefined;
  return id !== undefined && isJobId(id) ? jobId(id) : undefined;
};

/** Reads POST /work. The first fault found is the reason given. Only what may be null may be absent. */
export const parseSubmission = (body: unknown): ParseResult<JobSpec> => {
  if (!isMap(body)) return bad("not a map");
  const id = text(body.uid);
  if (id === undefined || !isJobId(id)) return bad("uid is not of the form wk-000000");
  const jobClass = text(body.weave);
  if (!jobClass) return bad("weave is missing");
  const team = text(body.crew);
  if (!team) return bad("crew is missing");
  if (body.pattern !== "sweep") return bad("pattern must be sweep");
  const priority = PRIORITIES.find((r) => r === body.rank);
  if (priority === undefined) return bad("rank is unknown");
  const taskCount = count(body.threads);
  if (taskCount === undefined || taskCount < 1 || taskCount > MAX_TASKS)
    return bad(`threads must be 1 to ${MAX_TASKS}`);
  const cpus = amount(body.cpus);
  const gpus = amount(body.gpus);
  const ramGb = amount(body.ramGb);
  if (cpus === undefined) return bad("cpus is invalid");
  if (gpus === undefined) return bad("gpus is invalid");
  if (ramGb === undefined) return bad("ramGb is invalid");
  const image = text(body.bolt);
  if (image === undefined) return bad("bolt is missing");
  const imageGb = amount(body.imageGb);
  if (imageGb === undefined) return bad("imageGb is invalid");
  let machineTypes: string[] | null = null;
  if (!absent(body.frames)) {
    const names = list(body.frames)?.map(text);
    if (names === undefined || names.some((n) => n === undefined))
      return bad("frames must be a list of names");
    machineTypes = names as string[];
  }
  if (!absent(body.mill) && typeof body.mill !== "string") return bad("mill is invalid");
  const zoneAffinity = flag(body.oneZone);
  const spreadAcrossZones = flag(body.apart);
  const spotAllowed = flag(body.remnant);
  if (zoneAffinity === undefined) return bad("oneZone is invalid");
  if (spreadAcrossZones === undefined) return bad("apart is invalid");
  if (spotAllowed === undefined) return bad("remnant is invalid");
  const expectedRunS = amount(body.expectS);
  if (expectedRunS === undefined) return bad("expectS is invalid");
  const checkpointIntervalS = amount(body.knotS);
  const checkpointSaveS = amount(body.spoolS);
  if (checkpointIntervalS === undefined) return bad("knotS is invalid");
  if (checkpointSaveS === undefined) return bad("spoolS is invalid");
  const deadlineS = absent(body.dueS) ? null : amount(body.dueS);
  if (deadlineS === undefined) return bad("dueS is invalid");
  return {
    ok: true,
    value: {
      id: jobId(id),
      jobClass,
      team: teamName(team),
      priority,
      taskCount,
      resources: { cpus, gpus, ramGb },
      image,
      imageGb,
      machineTypes,
      zone: typeof body.mill === "string" ? body.mill : null,
      zoneAffinity,
      spreadAcrossZones,
      spotAllowed,
      expectedRunS,
      checkpointIntervalS,
      checkpointSaveS,
      deadlineS,
    },
  };
};

export const jobStatusBody = (v: JobStatus): Fields => ({
  uid: v.id,
  stage: v.phase,
  done: v.done,
  running: v.running,
});
