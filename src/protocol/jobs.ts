/**
 * Messages to and from users: a submission and the status of a job.
 *
 * `SUBMISSION_FIELDS` maps the wire's names to the glossary's terms and holds each field's check, in
 * the order of the checks: the reason that a user is given is that of the first fault.
 */
import { type JobId, jobId, type TeamName, teamName } from "@umberfold/ids";
import { amount, count, type Fields, isMap, list, text } from "./cbor.js";

/** All priorities, the most urgent first; the wire's words are the same. */
export const PRIORITIES = ["production", "high", "normal", "best_effort"] as const;
/** How urgent a job is. */
export type Priority = (typeof PRIORITIES)[number];
/** 0 is the most urgent. */
export const priorityOrder = (priority: Priority): number => PRIORITIES.indexOf(priority);

/** What a task takes, or what a machine has. Processors and devices may be fractions. */
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
  /** What each task takes. */
  readonly resources: Resources;
  readonly image: string;
  readonly imageGb: number;
  /** The machine types that may run it; null: all. */
  readonly machineTypes: readonly string[] | null;
  /** The zone that it must run in; null: any. */
  readonly zone: string | null;
  readonly zoneAffinity: boolean;
  readonly spreadAcrossZones: boolean;
  readonly spotAllowed: boolean;
  /** How long the user expects a task to run, without fetching its image; often wrong. */
  readonly expectedRunS: number;
  /** Seconds of progress between two checkpoints; 0: a task never saves, and stopping it loses all. */
  readonly checkpointIntervalS: number;
  /** Seconds that a task needs to save when it is stopped. */
  readonly checkpointSaveS: number;
  /** Seconds from submission until it should be finished; null: no deadline. */
  readonly deadlineS: number | null;
}

/** What a user is told of a job's progress; the wire's words are the same. */
export type JobPhase = "queued" | "running" | "done" | "cancelled";

/** The answer to a question for a job. */
export interface JobStatus {
  readonly id: JobId;
  readonly phase: JobPhase;
  /** How many tasks are finished. */
  readonly done: number;
  /** How many tasks have an attempt now. */
  readonly running: number;
}

/** The protocol's bound on the tasks of one job. */
export const MAX_TASKS = 100_000;
const JOB_ID = /^wk-[0-9]{1,18}$/;

/** Whether a text is a job's id, and so may be part of a key. */
export const isJobId = (id: string): boolean => JOB_ID.test(id);

/** A value, or why there is none, in the words that the sender is told. */
export type ParseResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly reason: string };

/** One field of a message: its wire name, its check, and the reason given where that fails. */
interface FieldRule<Value> {
  readonly wire: string;
  /** The checked value; undefined if it is refused. Null and a missing field are the same. */
  readonly read: (value: unknown) => Value | undefined;
  readonly fault: string;
}

const nonEmptyText = (value: unknown): string | undefined => text(value) || undefined;
const flag = (value: unknown): boolean | undefined =>
  typeof value === "boolean" ? value : undefined;
/** Only what may be null may be absent. */
const orNull =
  <Value>(read: (value: unknown) => Value | undefined) =>
  (value: unknown): Value | null | undefined =>
    value === null || value === undefined ? null : read(value);
const texts = (value: unknown): readonly string[] | undefined => {
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
/** Job arrays are the only pattern there is. */
const jobArray = (value: unknown): "sweep" | undefined => (value === "sweep" ? value : undefined);

/** The fields of a submission as they are on the wire: flat, and with the pattern. */
type SubmissionFields = Omit<JobSpec, "resources"> & Resources & { readonly pattern: "sweep" };

/** In the order of the checks. Times are in seconds, sizes in GB, as on the wire. */
const SUBMISSION_FIELDS: {
  readonly [Term in keyof SubmissionFields]: FieldRule<SubmissionFields[Term]>;
} = {
  id: { wire: "uid", read: validJobId, fault: "uid is not of the form wk-000000" },
  jobClass: { wire: "weave", read: nonEmptyText, fault: "weave is missing" },
  team: { wire: "crew", read: validTeam, fault: "crew is missing" },
  pattern: { wire: "pattern", read: jobArray, fault: "pattern must be sweep" },
  priority: {
    wire: "rank",
    read: (value) => PRIORITIES.find((known) => known === value),
    fault: "rank is unknown",
  },
  taskCount: {
    wire: "threads",
    read: validTaskCount,
    fault: `threads must be 1 to ${MAX_TASKS}`,
  },
  cpus: { wire: "cpus", read: amount, fault: "cpus is invalid" },
  gpus: { wire: "gpus", read: amount, fault: "gpus is invalid" },
  ramGb: { wire: "ramGb", read: amount, fault: "ramGb is invalid" },
  image: { wire: "bolt", read: text, fault: "bolt is missing" },
  imageGb: { wire: "imageGb", read: amount, fault: "imageGb is invalid" },
  machineTypes: { wire: "frames", read: orNull(texts), fault: "frames must be a list of names" },
  zone: { wire: "mill", read: orNull(text), fault: "mill is invalid" },
  zoneAffinity: { wire: "oneZone", read: flag, fault: "oneZone is invalid" },
  spreadAcrossZones: { wire: "apart", read: flag, fault: "apart is invalid" },
  spotAllowed: { wire: "remnant", read: flag, fault: "remnant is invalid" },
  expectedRunS: { wire: "expectS", read: amount, fault: "expectS is invalid" },
  checkpointIntervalS: { wire: "knotS", read: amount, fault: "knotS is invalid" },
  checkpointSaveS: { wire: "spoolS", read: amount, fault: "spoolS is invalid" },
  deadlineS: { wire: "dueS", read: orNull(amount), fault: "dueS is invalid" },
};
const SUBMISSION_RULES: readonly (readonly [term: string, rule: FieldRule<unknown>])[] =
  Object.entries(SUBMISSION_FIELDS);

/** The job that a submission names, whatever else may be wrong with it. */
export const submissionId = (body: unknown): JobId | undefined =>
  isMap(body) ? SUBMISSION_FIELDS.id.read(body[SUBMISSION_FIELDS.id.wire]) : undefined;

/** Reads a submission. The first fault found is the reason given; unknown fields are ignored. */
export const parseSubmission = (body: unknown): ParseResult<JobSpec> => {
  if (!isMap(body)) return { ok: false, reason: "not a map" };
  const values: Record<string, unknown> = {};
  for (const [term, { wire, read, fault }] of SUBMISSION_RULES) {
    const value = read(body[wire]);
    if (value === undefined) return { ok: false, reason: fault };
    values[term] = value;
  }
  // Each rule has been applied, and each returns its field's type.
  const { pattern: _pattern, cpus, gpus, ramGb, ...fields } = values as unknown as SubmissionFields;
  return { ok: true, value: { ...fields, resources: { cpus, gpus, ramGb } } };
};

/** The body of an answer with a job's status. */
export const jobStatusBody = (status: JobStatus): Fields => ({
  uid: status.id,
  stage: status.phase,
  done: status.done,
  running: status.running,
});

/** The body of the answer to a submission that was accepted just now. */
export const acceptedBody = (id: JobId): Fields => ({ uid: id, stage: "queued" });
