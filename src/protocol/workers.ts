import {
  type AttemptNo,
  attemptNo,
  type ControllerLabel,
  type MachineId,
  machineId,
  type TaskId,
  type Token,
  token,
} from "@umberfold/ids";
import { amount, count, type Fields, isMap, list, text, wide } from "./cbor.js";

/** `other`: a stage of a later version; the task is there, which is what counts. */
export type TaskStage = "fetching" | "running" | "saving" | "ended" | "other";
export type EndCause = "done" | "halted" | "error" | "no_room" | "in_use" | "unknown" | "other";

export interface TaskReport {
  readonly task: TaskId;
  readonly attempt: AttemptNo;
  readonly stage: TaskStage;
  readonly cause?: EndCause;
  readonly saved: boolean;
}

export interface Report {
  readonly machine: MachineId;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly session: number;
  readonly seq: number;
  readonly token: Token;
  /** Seconds until the cloud takes the machine, or null. */
  readonly noticeS: number | null;
  readonly tasks: readonly TaskReport[];
}

export type Order =
  | { readonly op: "start"; readonly task: TaskId; readonly attempt: AttemptNo }
  | {
      readonly op: "stop";
      readonly task: TaskId;
      readonly attempt: AttemptNo;
      readonly graceS: number;
    }
  | { readonly op: "forget"; readonly task: TaskId; readonly attempt: AttemptNo };

const STAGES: Readonly<Record<string, TaskStage>> = {
  pulling: "fetching",
  running: "running",
  saving: "saving",
  ended: "ended",
};
const CAUSES: readonly EndCause[] = ["done", "halted", "error", "no_room", "in_use", "unknown"];
const VERBS = { start: "run", stop: "kill", forget: "forget" } as const;
const TASK = /^wk-[0-9]{1,18}\/[0-9]{1,6}$/;

const parseTask = (v: unknown): TaskReport | undefined => {
  if (!isMap(v)) return undefined;
  const task = text(v.thread);
  const attempt = count(v.try);
  const stage = typeof v.stage === "string" ? (STAGES[v.stage] ?? "other") : undefined;
  if (task === undefined || !TASK.test(task) || attempt === undefined || stage === undefined)
    return undefined;
  const cause = CAUSES.find((c) => c === v.cause) ?? (stage === "ended" ? "other" : undefined);
  return {
    task: task as TaskId,
    attempt: attemptNo(attempt),
    stage,
    ...(cause === undefined ? {} : { cause }),
    saved: v.kept === true,
  };
};

/** A malformed report is refused whole: half a task list would be taken for proof of absence. */
export const parseReport = (body: unknown): Report | undefined => {
  if (!isMap(body)) return undefined;
  const machine = text(body.loom);
  const endpoint = text(body.endpoint);
  const type = text(body.frame);
  const zone = text(body.mill);
  const session = count(body.shift);
  const seq = count(body.tally);
  const seen = body.baton === undefined || body.baton === null ? 0 : count(body.baton);
  const tasks = body.threads === undefined ? [] : list(body.threads)?.map(parseTask);
  if (!machine || !endpoint || !type || zone === undefined) return undefined;
  if (session === undefined || seq === undefined || seen === undefined) return undefined;
  if (tasks === undefined || tasks.some((t) => t === undefined)) return undefined;
  return {
    machine: machineId(machine),
    endpoint,
    type,
    zone,
    spot: body.remnant === true,
    session,
    seq,
    token: token(seen),
    noticeS: amount(body.warningS) ?? null,
    tasks: tasks as TaskReport[],
  };
};

const orderBody = (o: Order): Fields =>
  o.op === "stop"
    ? { verb: VERBS.stop, thread: o.task, try: o.attempt, easeS: o.graceS }
    : { verb: VERBS[o.op], thread: o.task, try: o.attempt };

export const heartbeatAnswer = (t: Token, orders: readonly Order[]): Fields => ({
  baton: wide(t),
  orders: orders.map(orderBody),
});

export const ordersBody = (t: Token, session: number, orders: readonly Order[]): Fields => ({
  baton: wide(t),
  shift: session,
  orders: orders.map(orderBody),
});

export const redirectBody = (to: ControllerLabel | undefined): Fields =>
  to === undefined ? {} : { foreman: to };
