/**
 * Messages to and from workers: the status in a heartbeat or in answer to a command, commands, and
 * the redirection to the owner.
 *
 * Maps the wire's names (`loom`, `shift`, `tally`, `baton`, `thread`, `verb`, `foreman`) to the
 * glossary's terms, in the order in which the wire has them.
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
import { amount, count, type Fields, isMap, list, text, wide } from "./cbor.js";

/** Where workers send their heartbeats. */
export const HEARTBEAT_PATH = "/agent/beat";

/** `other`: a phase of a later version; the task is there, which is what counts. */
export type TaskPhase = "fetching" | "running" | "saving" | "ended" | "other";
/** Why an attempt ended. `other`: none was given, or one of a later version. */
export type EndCause = "done" | "halted" | "error" | "no_room" | "in_use" | "unknown" | "other";

/** What a worker says of one attempt. */
export interface TaskStatus {
  readonly task: TaskId;
  readonly attempt: AttemptNumber;
  readonly phase: TaskPhase;
  /** Always there once the phase is `ended`. */
  readonly cause?: EndCause;
  /** Whether its progress was saved when it was stopped. */
  readonly saved: boolean;
}

/** What a worker says of itself and of all its tasks: one that is missing here isn't on it. */
export interface WorkerStatus {
  readonly machine: MachineId;
  /** Host and port at which it takes commands. */
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly epoch: number;
  /** Orders the statuses of one epoch. */
  readonly sequence: number;
  /** The highest fencing token that it has seen; 0 before the first. */
  readonly token: FencingToken;
  /** Seconds until the cloud takes the machine, or null. */
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly TaskStatus[];
}

/** A command for one attempt. `graceS`: seconds that a task gets to save; one that needs more ends at once. */
export type WorkerCommand =
  | { readonly op: "start"; readonly task: TaskId; readonly attempt: AttemptNumber }
  | {
      readonly op: "stop";
      readonly task: TaskId;
      readonly attempt: AttemptNumber;
      readonly graceS: number;
    }
  | { readonly op: "forget"; readonly task: TaskId; readonly attempt: AttemptNumber };

const PHASES: Readonly<Record<string, TaskPhase>> = {
  pulling: "fetching",
  running: "running",
  saving: "saving",
  ended: "ended",
};
const CAUSES: readonly EndCause[] = ["done", "halted", "error", "no_room", "in_use", "unknown"];
const VERBS = { start: "run", stop: "kill", forget: "forget" } as const;
const TASK_ID = /^wk-[0-9]{1,18}\/[0-9]{1,6}$/;

const parseTask = (row: unknown): TaskStatus | undefined => {
  if (!isMap(row)) return undefined;
  const task = text(row.thread);
  const attempt = count(row.try);
  const phase = typeof row.stage === "string" ? (PHASES[row.stage] ?? "other") : undefined;
  if (task === undefined || !TASK_ID.test(task) || attempt === undefined || phase === undefined)
    return undefined;
  const cause =
    CAUSES.find((known) => known === row.cause) ?? (phase === "ended" ? "other" : undefined);
  return {
    task: task as TaskId,
    attempt: attemptNumber(attempt),
    phase,
    ...(cause === undefined ? {} : { cause }),
    saved: row.kept === true,
  };
};

/** Reads a status. A malformed one is refused whole: half a task list would prove an absence. */
export const parseWorkerStatus = (body: unknown): WorkerStatus | undefined => {
  if (!isMap(body)) return undefined;
  const machine = text(body.loom);
  const endpoint = text(body.endpoint);
  const type = text(body.frame);
  const zone = text(body.mill);
  const epoch = count(body.shift);
  const sequence = count(body.tally);
  const token = body.baton === undefined || body.baton === null ? 0 : count(body.baton);
  const tasks = body.threads === undefined ? [] : list(body.threads)?.map(parseTask);
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
    ? { verb: VERBS.stop, thread: command.task, try: command.attempt, easeS: command.graceS }
    : { verb: VERBS[command.op], thread: command.task, try: command.attempt };

/** The answer to a heartbeat, which carries commands for the epoch that it reported. */
export const heartbeatResponseBody = (
  token: FencingToken,
  commands: readonly WorkerCommand[],
): Fields => ({
  baton: wide(token),
  orders: commands.map(commandBody),
});

/** The body of a direct call with commands; a worker in another epoch refuses it. */
export const commandsBody = (
  token: FencingToken,
  epoch: number,
  commands: readonly WorkerCommand[],
): Fields => ({
  baton: wide(token),
  shift: epoch,
  orders: commands.map(commandBody),
});

/** The answer to a worker whose shard another controller owns; empty if the owner isn't known. */
export const redirectBody = (owner: ControllerLabel | undefined): Fields =>
  owner === undefined ? {} : { foreman: owner };
