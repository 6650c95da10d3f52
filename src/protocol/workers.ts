/**
 * Messages to and from workers: the status in a heartbeat or in the response to a command,
 * commands, and the redirection to the owner.
 *
 * Maps field names on the wire to the terms of this code: `loom` is a machine, `shift` an epoch,
 * `tally` a sequence number, `baton` a fencing token, `thread` a task, `verb` the operation of a
 * command and `foreman` the owner. Fields are written in the order of the wire format.
 */
import {
  type AttemptNumber,
  attemptNumber,
  type ControllerLabel,
  type FencingToken,
  fencingToken,
  type MachineId,
  machineId,
  type TaskId,
} from "@umberfold/ids";
import { amount, count, type Fields, isMap, list, text, toCborInteger } from "./cbor.js";

/** The path to which workers send heartbeats. */
export const HEARTBEAT_PATH = "/agent/beat";

/** `other`: a phase introduced by a later version; the task is still known to be on the machine. */
export type TaskPhase = "fetching" | "running" | "saving" | "ended" | "other";
/**
 * Why an attempt ended. `other`: the worker gave no cause, or one introduced by a later version.
 */
export type EndCause = "done" | "halted" | "error" | "no_room" | "in_use" | "unknown" | "other";

/** A worker's report on one attempt. */
export interface TaskStatus {
  readonly task: TaskId;
  readonly attempt: AttemptNumber;
  readonly phase: TaskPhase;
  /** Always present if the phase is `ended`. */
  readonly cause?: EndCause;
  /** Whether a checkpoint of its progress was saved when it was stopped. */
  readonly saved: boolean;
}

/** A worker's report on itself and all its tasks: a task that is not listed is not on it. */
export interface WorkerStatus {
  readonly machine: MachineId;
  /** Host and port at which it accepts commands. */
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly epoch: number;
  /** Orders the statuses of one epoch. */
  readonly sequence: number;
  /** The highest fencing token that it has received; 0 before the first. */
  readonly token: FencingToken;
  /** Seconds until the cloud preempts the machine; null without a preemption notice. */
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly TaskStatus[];
}

/**
 * A command for one attempt. `graceS` is the time in seconds that a stopped task has for saving a
 * checkpoint; a task that needs longer ends immediately.
 */
export type WorkerCommand =
  | { readonly op: "start"; readonly task: TaskId; readonly attempt: AttemptNumber }
  | {
      readonly op: "stop";
      readonly task: TaskId;
      readonly attempt: AttemptNumber;
      readonly graceS: number;
    }
  | { readonly op: "forget"; readonly task: TaskId; readonly attempt: AttemptNumber };

const TASK_PHASES_BY_WIRE_NAME: Readonly<Record<string, TaskPhase>> = {
  pulling: "fetching",
  running: "running",
  saving: "saving",
  ended: "ended",
};
const KNOWN_END_CAUSES: readonly EndCause[] = [
  "done",
  "halted",
  "error",
  "no_room",
  "in_use",
  "unknown",
];
const WIRE_VERBS = { start: "run", stop: "kill", forget: "forget" } as const;
const TASK_ID_PATTERN = /^wk-[0-9]{1,18}\/[0-9]{1,6}$/;

const parseTaskStatus = (row: unknown): TaskStatus | undefined => {
  if (!isMap(row)) return undefined;
  const task = text(row.thread);
  const attempt = count(row.try);
  const phase =
    typeof row.stage === "string" ? (TASK_PHASES_BY_WIRE_NAME[row.stage] ?? "other") : undefined;
  if (
    task === undefined ||
    !TASK_ID_PATTERN.test(task) ||
    attempt === undefined ||
    phase === undefined
  )
    return undefined;
  const cause =
    KNOWN_END_CAUSES.find((known) => known === row.cause) ??
    (phase === "ended" ? "other" : undefined);
  return {
    task: task as TaskId,
    attempt: attemptNumber(attempt),
    phase,
    ...(cause === undefined ? {} : { cause }),
    saved: row.kept === true,
  };
};

/**
 * Parses a status. Refuses it if one of its tasks is malformed: an incomplete list of tasks would
 * wrongly show that a task is absent.
 */
export const parseWorkerStatus = (body: unknown): WorkerStatus | undefined => {
  if (!isMap(body)) return undefined;
  const machine = text(body.loom);
  const endpoint = text(body.endpoint);
  const type = text(body.frame);
  const zone = text(body.mill);
  const epoch = count(body.shift);
  const sequence = count(body.tally);
  const token = body.baton === undefined || body.baton === null ? 0 : count(body.baton);
  const tasks = body.threads === undefined ? [] : list(body.threads)?.map(parseTaskStatus);
  if (!machine || !endpoint || !type || zone === undefined) return undefined;
  if (epoch === undefined || sequence === undefined || token === undefined) return undefined;
  if (tasks === undefined || tasks.some((task) => task === undefined)) return undefined;
  return {
    machine: machineId(machine),
    endpoint,
    type,
    zone,
    spot: body.remnant === true,
    epoch,
    sequence,
    token: fencingToken(token),
    preemptionNoticeS: amount(body.warningS) ?? null,
    tasks: tasks as TaskStatus[],
  };
};

const commandBody = (command: WorkerCommand): Fields =>
  command.op === "stop"
    ? { verb: WIRE_VERBS.stop, thread: command.task, try: command.attempt, easeS: command.graceS }
    : { verb: WIRE_VERBS[command.op], thread: command.task, try: command.attempt };

/** The body of the response to a heartbeat, with commands for the epoch that it reported. */
export const heartbeatResponseBody = (
  token: FencingToken,
  commands: readonly WorkerCommand[],
): Fields => ({
  baton: toCborInteger(token),
  orders: commands.map(commandBody),
});

/** The body of a direct call with commands; a worker in another epoch refuses them. */
export const commandsBody = (
  token: FencingToken,
  epoch: number,
  commands: readonly WorkerCommand[],
): Fields => ({
  baton: toCborInteger(token),
  shift: epoch,
  orders: commands.map(commandBody),
});

/** The body of a redirection to the shard's owner; empty if the owner is unknown. */
export const redirectBody = (owner: ControllerLabel | undefined): Fields =>
  owner === undefined ? {} : { foreman: owner };
