import {
  type AttemptNumber,
  attemptKey,
  type FencingToken,
  type MonotonicMs,
  type TaskId,
} from "@umberfold/ids";
import type { TaskStatus, WorkerCommand, WorkerStatus } from "../../protocol/workers.js";

/**
 * What a shard's owner knows of one machine it holds.
 *
 * `unheard`: no report yet since we took it. `claiming`: heard, but its highest token is below
 * ours, so an earlier owner's commands may still be carried out and nothing may be started or
 * believed absent. `ready`: it has shown our token: no older command can be executed, and its
 * newest report is the whole truth. `silent`: was heard, but is silent for too long.
 */
export type WorkerSessionState = "unknown" | "fencing" | "ready" | "unresponsive";

/** How an attempt's start command went out, for telling whether it can still be on its way. */
export interface StartDelivery {
  /** The count of heartbeats when a beat's answer carried it; settled by any later beat. */
  readonly heartbeatMark?: number;
  readonly direct?: "pending" | "answered" | "lost";
  /** The token it was sent under. */
  readonly token: FencingToken;
}

export interface WorkerSession {
  readonly state: WorkerSessionState;
  readonly token: FencingToken;
  readonly status: WorkerStatus | undefined;
  readonly tasks: ReadonlyMap<TaskId, TaskStatus>;
  readonly lastHeardAt: MonotonicMs;
  readonly heartbeats: number;
  readonly startDeliveries: ReadonlyMap<string, StartDelivery>;
}

export type WorkerSessionEvent =
  /** Our token for the machine is now this one: a takeover, a move or a bump. */
  | { readonly kind: "token_assigned"; readonly token: FencingToken; readonly now: MonotonicMs }
  | {
      readonly kind: "status_received";
      readonly report: WorkerStatus;
      readonly via: "heartbeat" | "direct";
      readonly now: MonotonicMs;
    }
  | { readonly kind: "heartbeat_answered"; readonly starts: readonly string[] }
  | { readonly kind: "command_sent"; readonly starts: readonly string[] }
  | { readonly kind: "command_answered"; readonly starts: readonly string[] }
  | { readonly kind: "command_not_sent"; readonly starts: readonly string[] }
  | { readonly kind: "command_lost"; readonly starts: readonly string[] }
  | { readonly kind: "became_unresponsive" }
  /** The owner was away itself: what it did not hear meanwhile says nothing. */
  | { readonly kind: "timers_reset"; readonly now: MonotonicMs };

const NO_TASKS: ReadonlyMap<TaskId, TaskStatus> = new Map();
const NO_SENT: ReadonlyMap<string, StartDelivery> = new Map();

export const newWorkerSession = (owned: FencingToken, now: MonotonicMs): WorkerSession => ({
  state: "unknown",
  token: owned,
  status: undefined,
  tasks: NO_TASKS,
  lastHeardAt: now,
  heartbeats: 0,
  startDeliveries: NO_SENT,
});

/** Is `a` a newer message of the worker than `b`? */
export const isNewer = (
  a: { readonly epoch: number; readonly sequence: number },
  b: { readonly epoch: number; readonly sequence: number } | undefined,
): boolean =>
  b === undefined || a.epoch > b.epoch || (a.epoch === b.epoch && a.sequence > b.sequence);

const mark = (
  s: WorkerSession,
  starts: readonly string[],
  with_: (old: StartDelivery | undefined) => StartDelivery | undefined,
): WorkerSession => {
  if (starts.length === 0) return s;
  const startDeliveries = new Map(s.startDeliveries);
  for (const k of starts) {
    const next = with_(startDeliveries.get(k));
    if (next === undefined) startDeliveries.delete(k);
    else startDeliveries.set(k, next);
  }
  return { ...s, startDeliveries };
};

const hear = (
  s: WorkerSession,
  e: Extract<WorkerSessionEvent, { kind: "status_received" }>,
): WorkerSession => {
  const { report: status } = e;
  // Reports arrive late and out of order; only the newest (session, seq) counts.
  if (!isNewer(status, s.status)) return s;
  const shown = status.token >= s.token;
  let sent = s.startDeliveries;
  if (s.status !== undefined && status.epoch > s.status.epoch) {
    // The worker killed and forgot all, and drops whatever was meant for its earlier session.
    sent = NO_SENT;
  } else if (shown && sent.size > 0) {
    // Commands under a token below the one it has seen can't be executed any more.
    const kept = [...sent].filter(([, x]) => x.token >= s.token);
    if (kept.length < sent.size) sent = new Map(kept);
  }
  const next: WorkerSession = {
    ...s,
    state: shown ? "ready" : "fencing",
    status,
    tasks: new Map(status.tasks.map((t) => [t.task, t])),
    lastHeardAt: e.now,
    heartbeats: e.via === "heartbeat" ? s.heartbeats + 1 : s.heartbeats,
    startDeliveries: sent,
  };
  // What is settled need not be remembered, or it grows with every task ever started there; but
  // what was answered may come again, and is remembered until the token has risen.
  if (sent.size === 0) return next;
  const open = [...sent].filter(([key]) => !canForget(next, key));
  return open.length === sent.size ? next : { ...next, startDeliveries: new Map(open) };
};

/** The one place where a session changes. */
export const stepWorkerSession = (s: WorkerSession, e: WorkerSessionEvent): WorkerSession => {
  switch (e.kind) {
    case "token_assigned":
      if (e.token === s.token) return s;
      return {
        ...s,
        token: e.token,
        state: s.status === undefined ? "unknown" : "fencing",
        lastHeardAt: e.now,
      };
    case "status_received":
      return hear(s, e);
    case "heartbeat_answered":
      return mark(s, e.starts, (old) => ({ ...old, heartbeatMark: s.heartbeats, token: s.token }));
    case "command_sent":
      return mark(s, e.starts, (old) => ({ ...old, direct: "pending", token: s.token }));
    case "command_answered":
      return mark(s, e.starts, (old) =>
        old === undefined ? undefined : { ...old, direct: "answered" },
      );
    case "command_not_sent":
      return mark(s, e.starts, (old) => {
        if (old === undefined || old.heartbeatMark === undefined) return undefined;
        return { heartbeatMark: old.heartbeatMark, token: old.token };
      });
    case "command_lost":
      // It may be executed minutes later: only a higher token, seen, settles it.
      return mark(s, e.starts, (old) =>
        old === undefined ? undefined : { ...old, direct: "lost" },
      );
    case "became_unresponsive":
      return s.state === "unresponsive" ? s : { ...s, state: "unresponsive" };
    case "timers_reset":
      return { ...s, lastHeardAt: e.now };
  }
};

/** No start command for this attempt can still be on its way to the machine. */
export const isSettled = (s: WorkerSession, key: string): boolean => {
  const x = s.startDeliveries.get(key);
  if (x === undefined) return true;
  if (x.direct === "pending" || x.direct === "lost") return false;
  return x.heartbeatMark === undefined || s.heartbeats > x.heartbeatMark;
};

/**
 * It may be forgotten: neither can its start still be on its way, nor would a repeat of it be
 * executed. The worker knows an attempt by its report alone; once forgotten, a repeat of a direct
 * start under the token in force would run it afresh, beside the one that was opened elsewhere
 * since. (A simulated day with repeats ended with `ran_twice`.)
 */
export const canForget = (s: WorkerSession, key: string): boolean =>
  isSettled(s, key) && s.startDeliveries.get(key)?.direct !== "answered";

/** Exited attempts that wait for a higher token to be forgotten: how many make it worth raising. */
const MOST_KEPT = 16;

export const shouldRaiseToken = (s: WorkerSession): boolean => {
  if (s.startDeliveries.size < MOST_KEPT) return false;
  let kept = 0;
  for (const t of s.tasks.values())
    if (t.phase === "ended" && !canForget(s, attemptKey(t.task, t.attempt))) kept++;
  return kept >= MOST_KEPT;
};

/** An earlier attempt of the task stands there and can't be forgotten yet. */
export const isBlockedByEarlierAttempt = (
  s: WorkerSession,
  task: TaskId,
  attempt: AttemptNumber,
): boolean => {
  const t = s.tasks.get(task);
  if (t === undefined || t.attempt === attempt) return false;
  return !canForget(s, attemptKey(task, t.attempt));
};

/** No start of ours is on its way to the machine, and none may be. */
export const hasNoStartInFlight = (s: WorkerSession): boolean => {
  for (const key of s.startDeliveries.keys()) if (!isSettled(s, key)) return false;
  return true;
};

/** A start command was lost under the token in force: the token must rise before absence counts. */
export const mustRaiseToken = (s: WorkerSession): boolean => {
  for (const x of s.startDeliveries.values())
    if (x.direct === "lost" && x.token === s.token) return true;
  return false;
};

/** What an open attempt's owner may conclude from a machine's newest report. */
export type AttemptObservation =
  | { readonly kind: "unknown" }
  /** Not there, and no command for it can still be on its way. */
  | { readonly kind: "absent" }
  /** Not there, but a start command may still arrive. */
  | { readonly kind: "unsettled" }
  | { readonly kind: "present"; readonly report: TaskStatus };

export const observeAttempt = (
  s: WorkerSession,
  task: TaskId,
  attempt: AttemptNumber,
  key = attemptKey(task, attempt),
): AttemptObservation => {
  if (s.state !== "ready") return { kind: "unknown" };
  const t = s.tasks.get(task);
  if (t !== undefined && t.attempt === attempt) return { kind: "present", report: t };
  return { kind: isSettled(s, key) ? "absent" : "unsettled" };
};

/** An attempt that the records hold open on this machine, and what is wanted of it. */
export interface DesiredAttempt {
  readonly task: TaskId;
  readonly attempt: AttemptNumber;
  /** Null: it may run. Otherwise it should stop, given this time to save. */
  readonly stopGraceS: number | null;
  /** Its closing is being written, or the machine is on its way out: never start it (again). */
  readonly startForbidden: boolean;
}

/**
 * The commands that bring a machine to what the records say, forgets and stops before starts.
 * Only valid in state `ready`. Recomputed for every answer, so a lost one repeats itself.
 */
export const reconcileCommands = (
  s: WorkerSession,
  wanted: ReadonlyMap<TaskId, DesiredAttempt>,
): readonly WorkerCommand[] => {
  if (s.state !== "ready") return [];
  const first: WorkerCommand[] = [];
  const starts: WorkerCommand[] = [];
  for (const t of s.tasks.values()) {
    const w = wanted.get(t.task);
    const { task, attempt } = t;
    if (w !== undefined && w.attempt === attempt) {
      if (t.phase !== "ended" && w.stopGraceS !== null && t.phase !== "saving")
        first.push({ op: "stop", task, attempt, graceS: w.stopGraceS });
      else if (t.phase === "saving" && w.stopGraceS === 0)
        first.push({ op: "stop", task, attempt, graceS: 0 });
    } else if (t.phase !== "ended") {
      first.push({ op: "stop", task, attempt, graceS: 0 });
    } else if (canForget(s, attemptKey(task, attempt))) {
      first.push({ op: "forget", task, attempt });
    }
  }
  for (const w of wanted.values()) {
    if (w.stopGraceS !== null || w.startForbidden) continue;
    if (s.tasks.get(w.task)?.attempt === w.attempt) continue;
    if (isBlockedByEarlierAttempt(s, w.task, w.attempt)) continue;
    // Still unanswered: a second copy would only be one more to lose track of.
    if (s.startDeliveries.get(attemptKey(w.task, w.attempt))?.direct === "pending") continue;
    starts.push({ op: "start", task: w.task, attempt: w.attempt });
  }
  return [...first, ...starts];
};
