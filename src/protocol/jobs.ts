/**
 * Messages to and from users: a submission and the status of a job.
 *
 * `SUBMISSION_FIELDS` maps the field names on the wire to the terms of this code and holds the
 * parser of each field. Its order is that of the checks: a user receives the reason for the first
 * invalid field.
 */
import { type JobId, jobId, type TeamName, teamName } from "@umberfold/ids";
import { amount, count, type Fields, isMap, list, text } from "./cbor.js";

/** All priorities, the most urgent first; the values are the same on the wire. */
export const PRIORITIES = ["production", "high", "normal", "best_effort"] as const;
/** How urgent a job is. */
export type Priority = (typeof PRIORITIES)[number];
/** The rank of a priority; 0 is the most urgent. */
export const priorityOrder = (priority: Priority): number => PRIORITIES.indexOf(priority);

/** The demand of a task or the capacity of a machine. CPUs and GPUs may be fractional. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly ramGb: number;
}

/** A job as a user submitted it, in the terms of this code. */
export interface JobSpec {
  readonly id: JobId;
  readonly jobClass: string;
  readonly team: TeamName;
  readonly priority: Priority;
  readonly taskCount: number;
  /** The demand of each task. */
  readonly resources: Resources;
  readonly image: string;
  readonly imageGb: number;
  /** The machine types that it may run on; null for all. */
  readonly machineTypes: readonly string[] | null;
  /** The zone that it must run in; null for any. */
  readonly zone: string | null;
  readonly zoneAffinity: boolean;
  readonly spreadAcrossZones: boolean;
  readonly spotAllowed: boolean;
  /** The user's estimate of a task's run time, without fetching its image; often wrong. */
  readonly expectedRunS: number;
  /** Seconds of progress between checkpoints; 0 for none, so a stopped task loses all progress. */
  readonly checkpointIntervalS: number;
  /** Seconds that a task needs to save a checkpoint when it is stopped. */
  readonly checkpointSaveS: number;
  /** The deadline in seconds after submission; null for none. */
  readonly deadlineS: number | null;
}

/** The phase of a job as reported to users; the values are the same on the wire. */
export type JobPhase = "queued" | "running" | "done" | "cancelled";

/** The response to a status request for a job. */
export interface JobStatus {
  readonly id: JobId;
  readonly phase: JobPhase;
  /** The number of finished tasks. */
  readonly done: number;
  /** The number of tasks that have a current attempt. */
  readonly running: number;
}

/** The protocol's limit on the tasks of one job. */
export const MAX_TASKS = 100_000;
const JOB_ID_PATTERN = /^wk-[0-9]{1,18}$/;

/** Whether a string is a valid job ID, which may be used in a key of the state store. */
export const isJobId = (id: string): boolean => JOB_ID_PATTERN.test(id);

/** A parsed value, or the reason for its refusal as reported to the sender. */
export type ParseResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly reason: string };

/** One field of a message: its name on the wire, its parser, and the reason if that refuses it. */
interface FieldRule<Value> {
  readonly wireName: string;
  /** Returns undefined to refuse a value. A missing field is treated as null. */
  readonly parse: (value: unknown) => Value | undefined;
  readonly errorReason: string;
}

const nonEmptyText = (value: unknown): string | undefined => text(value) || undefined;
const booleanValue = (value: unknown): boolean | undefined =>
  typeof value === "boolean" ? value : undefined;
/** Also accepts null and a missing field; both give null. */
const nullable =
  <Value>(read: (value: unknown) => Value | undefined) =>
  (value: unknown): Value | null | undefined =>
    value === null || value === undefined ? null : read(value);
const textList = (value: unknown): readonly string[] | undefined => {
  const names = list(value)?.map(text);
  return names?.some((name) => name === undefined) ? undefined : (names as string[] | undefined);
};
const validJobId = (value: unknown): JobId | undefined => {
  const id = text(value);
  return id !== undefined && isJobId(id) ? jobId(id) : undefined;
};
const validTeam = (value: unknown): TeamName | undefined => {
  const team = nonEmptyText(value);
  return team === undefined ? undefined : teamName(team);
};
const validTaskCount = (value: unknown): number | undefined => {
  const tasks = count(value);
  return tasks === undefined || tasks < 1 || tasks > MAX_TASKS ? undefined : tasks;
};
/** The protocol has a single pattern, the job array. */
const validPattern = (value: unknown): "sweep" | undefined =>
  value === "sweep" ? value : undefined;

/** The fields of a submission as on the wire, with `resources` flattened and the pattern added. */
type SubmissionFields = Omit<JobSpec, "resources"> & Resources & { readonly pattern: "sweep" };

/** In the order of the checks. Times are in seconds and sizes in GB, as on the wire. */
const SUBMISSION_FIELDS: {
  readonly [Field in keyof SubmissionFields]: FieldRule<SubmissionFields[Field]>;
} = {
  id: { wireName: "uid", parse: validJobId, errorReason: "uid is not of the form wk-000000" },
  jobClass: { wireName: "weave", parse: nonEmptyText, errorReason: "weave is missing" },
  team: { wireName: "crew", parse: validTeam, errorReason: "crew is missing" },
  pattern: { wireName: "pattern", parse: validPattern, errorReason: "pattern must be sweep" },
  priority: {
    wireName: "rank",
    parse: (value) => PRIORITIES.find((known) => known === value),
    errorReason: "rank is unknown",
  },
  taskCount: {
    wireName: "threads",
    parse: validTaskCount,
    errorReason: `threads must be 1 to ${MAX_TASKS}`,
  },
  cpus: { wireName: "cpus", parse: amount, errorReason: "cpus is invalid" },
  gpus: { wireName: "gpus", parse: amount, errorReason: "gpus is invalid" },
  ramGb: { wireName: "ramGb", parse: amount, errorReason: "ramGb is invalid" },
  image: { wireName: "bolt", parse: text, errorReason: "bolt is missing" },
  imageGb: { wireName: "imageGb", parse: amount, errorReason: "imageGb is invalid" },
  machineTypes: {
    wireName: "frames",
    parse: nullable(textList),
    errorReason: "frames must be a list of names",
  },
  zone: { wireName: "mill", parse: nullable(text), errorReason: "mill is invalid" },
  zoneAffinity: { wireName: "oneZone", parse: booleanValue, errorReason: "oneZone is invalid" },
  spreadAcrossZones: { wireName: "apart", parse: booleanValue, errorReason: "apart is invalid" },
  spotAllowed: { wireName: "remnant", parse: booleanValue, errorReason: "remnant is invalid" },
  expectedRunS: { wireName: "expectS", parse: amount, errorReason: "expectS is invalid" },
  checkpointIntervalS: { wireName: "knotS", parse: amount, errorReason: "knotS is invalid" },
  checkpointSaveS: { wireName: "spoolS", parse: amount, errorReason: "spoolS is invalid" },
  deadlineS: { wireName: "dueS", parse: nullable(amount), errorReason: "dueS is invalid" },
};
const SUBMISSION_RULES: readonly (readonly [field: string, rule: FieldRule<unknown>])[] =
  Object.entries(SUBMISSION_FIELDS);

/** The job ID in a submission, even if other fields are invalid. */
export const parseSubmissionId = (body: unknown): JobId | undefined =>
  isMap(body) ? SUBMISSION_FIELDS.id.parse(body[SUBMISSION_FIELDS.id.wireName]) : undefined;

/** Parses a submission. Reports the first invalid field; unknown fields are ignored. */
export const parseSubmission = (body: unknown): ParseResult<JobSpec> => {
  if (!isMap(body)) return { ok: false, reason: "not a map" };
  const values: Record<string, unknown> = {};
  for (const [field, { wireName, parse, errorReason }] of SUBMISSION_RULES) {
    const value = parse(body[wireName]);
    if (value === undefined) return { ok: false, reason: errorReason };
    values[field] = value;
  }
  // Each rule was applied above and returns its field's type.
  const { pattern: _pattern, cpus, gpus, ramGb, ...fields } = values as unknown as SubmissionFields;
  return { ok: true, value: { ...fields, resources: { cpus, gpus, ramGb } } };
};

/** The body of a response with a job's status. */
export const jobStatusBody = (status: JobStatus): Fields => ({
  uid: status.id,
  stage: status.phase,
  done: status.done,
  running: status.running,
});

/** The body of the response to an accepted submission. */
export const acceptedBody = (id: JobId): Fields => ({ uid: id, stage: "queued" });
