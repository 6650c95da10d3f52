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

/** `other`: a stage of a later version; the task is there, which is what counts. */
export type TaskPhase = "fetching" | "running" | "saving" | "ended" | "other";
export type EndCause = "done" | "halted" | "error" | "no_room" | "in_use" | "unknown" | "other";

export interface TaskStatus {
  readonly task: TaskId;
  readonly attempt: AttemptNumber;
  readonly phase: TaskPhase;
  readonly cause?: EndCause;
  readonly saved: boolean;
}

export interface WorkerStatus {
  readonly machine: MachineId;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly epoch: number;
  readonly sequence: number;
  readonly token: FencingToken;
  /** Seconds until the cloud takes the machine, or null. */
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly TaskStatus[];
}

export type WorkerCommand =
  | { readonly op: "start"; readonly task: TaskId; readonly attempt: AttemptNumber }
  | {
      readonly op: "stop";
      readonly task: TaskId;
      readonly attempt: AttemptNumber;
      readonly graceS: number;
    }
  | { readonly op: "forget"; readonly task: TaskId; readonly attempt: AttemptNumber };

const STAGES: Readonly<Record<string, TaskPhase>> = {
  pulling: "fetching",
  running: "running",
  saving: "saving",
  ended: "ended",
};
const CAUSES: readonly EndCause[] = ["done", "halted", "error", "no_room", "in_use", "unknown"];
const VERBS = { start: "run", stop: "kill", forget: "forget" } as const;
const TASK = /^wk-[0-9]{1,18}\/[0-9]{1,6}$/;

const parseTask = (v: unknown): TaskStatus | undefined => {
  if (!isMap(v)) return undefined;
  const task = text(v.thread);
  const attempt = count(v.try);
  const phase = typeof v.stage === "string" ? (STAGES[v.stage] ?? "other") : undefined;
  if (task === undefined || !TASK.test(task) || attempt === undefined || phase === undefined)
    return undefined;
  const cause = CAUSES.find((c) => c === v.cause) ?? (phase === "ended" ? "other" : undefined);
  return {
    task: task as TaskId,
    attempt: attemptNumber(attempt),
    phase,
    ...(cause === undefined ? {} : { cause }),
    saved: v.kept === true,
  };
};

/** A malformed report is refused whole: half a task list would be taken for proof of absence. */
export const parseWorkerStatus = (body: unknown): WorkerStatus | undefined => {
  if (!isMap(body)) return undefined;
  const machine = text(body.loom);
  const endpoint = text(body.endpoint);
  const type = text(body.frame);
  const zone = text(body.mill);
  const epoch = count(body.shift);
  const sequence = count(body.tally);
  const seen = body.baton === undefined || body.baton === null ? 0 : count(body.baton);
  const tasks = body.threads === undefined ? [] : list(body.threads)?.map(parseTask);
  if (!machine || !endpoint || !type || zone === undefined) return undefined;
  if (epoch === undefined || sequence === undefined || seen === undefined) return undefined;
  if (tasks === undefined || tasks.some((t) => t === undefined)) return undefined;
  return {
    machine: machineId(machine),
    endpoint,
    type,
    zone,
    spot: body.remnant === true,
    epoch,
    sequence,
    token: fencingToken(seen),
    preemptionNoticeS: amount(body.warningS) ?? null,
    tasks: tasks as TaskStatus[],
  };
};

const orderBody = (o: WorkerCommand): Fields =>
  o.op === "stop"
    ? { verb: VERBS.stop, thread: o.task, try: o.attempt, easeS: o.graceS }
    : { verb: VERBS[o.op], thread: o.task, try: o.attempt };

export const heartbeatResponseBody = (
  t: FencingToken,
  orders: readonly WorkerCommand[],
): Fields => ({
  baton: wide(t),
  orders: orders.map(orderBody),
});

export const commandsBody = (
  t: FencingToken,
  session: number,
  orders: readonly WorkerCommand[],
): Fields => ({
  baton: wide(t),
  shift: session,
  orders: orders.map(orderBody),
});

export const redirectBody = (to: ControllerLabel | undefined): Fields =>
  to === undefined ? {} : { foreman: to };
