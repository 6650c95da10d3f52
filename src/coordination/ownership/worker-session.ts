import { type AttemptNo, attemptKey, type Mono, type TaskId, type Token } from "@umberfold/ids";
import type { Order, Report, TaskReport } from "../../protocol/workers.js";

/**
 * What a shard's owner knows of one machine it holds.
 *
 * `unheard`: no report yet since we took it. `claiming`: heard, but its highest token is below
 * ours, so an earlier owner's commands may still be carried out and nothing may be started or
 * believed absent. `ready`: it has shown our token: no older command can be executed, and its
 * newest report is the whole truth. `silent`: was heard, but is silent for too long.
 */
export type SessionState = "unheard" | "claiming" | "ready" | "silent";

/** How an attempt's start command went out, for telling whether it can still be on its way. */
export interface Sent {
  /** The count of heartbeats when a beat's answer carried it; settled by any later beat. */
  readonly heartbeatMark?: number;
  readonly direct?: "pending" | "answered" | "lost";
  /** The token it was sent under. */
  readonly token: Token;
}

export interface Session {
  readonly state: SessionState;
  readonly token: Token;
  readonly report: Report | undefined;
  readonly tasks: ReadonlyMap<TaskId, TaskReport>;
  readonly heardAt: Mono;
  readonly heartbeats: number;
  readonly sent: ReadonlyMap<string, Sent>;
}

export type SessionEvent =
  /** Our token for the machine is now this one: a takeover, a move or a bump. */
  | { readonly kind: "held"; readonly token: Token; readonly now: Mono }
  | {
      readonly kind: "report";
      readonly report: Report;
      readonly via: "heartbeat" | "direct";
      readonly now: Mono;
    }
  | { readonly kind: "answered_heartbeat"; readonly starts: readonly string[] }
  | { readonly kind: "direct_sent"; readonly starts: readonly string[] }
  | { readonly kind: "direct_answered"; readonly starts: readonly string[] }
  | { readonly kind: "direct_unsent"; readonly starts: readonly string[] }
  | { readonly kind: "direct_lost"; readonly starts: readonly string[] }
  | { readonly kind: "silence" }
  /** The owner was away itself: what it did not hear meanwhile says nothing. */
  | { readonly kind: "anew"; readonly now: Mono };

const NO_TASKS: ReadonlyMap<TaskId, TaskReport> = new Map();
const NO_SENT: ReadonlyMap<string, Sent> = new Map();

export const newSession = (owned: Token, now: Mono): Session => ({
  state: "unheard",
  token: owned,
  report: undefined,
  tasks: NO_TASKS,
  heardAt: now,
  heartbeats: 0,
  sent: NO_SENT,
});

/** Is `a` a newer message of the worker than `b`? */
export const newer = (
  a: { readonly session: number; readonly seq: number },
  b: { readonly session: number; readonly seq: number } | undefined,
): boolean =>
  b === undefined || a.session > b.session || (a.session === b.session && a.seq > b.seq);

const mark = (
  s: Session,
  starts: readonly string[],
  with_: (old: Sent | undefined) => Sent | undefined,
): Session => {
  if (starts.length === 0) return s;
  const sent = new Map(s.sent);
  for (const k of starts) {
    const next = with_(sent.get(k));
    if (next === undefined) sent.delete(k);
    else sent.set(k, next);
  }
  return { ...s, sent };
};

const hear = (s: Session, e: Extract<SessionEvent, { kind: "report" }>): Session => {
  const { report } = e;
  // Reports arrive late and out of order; only the newest (session, seq) counts.
  if (!newer(report, s.report)) return s;
  const shown = report.token >= s.token;
  let sent = s.sent;
  if (s.report !== undefined && report.session > s.report.session) {
    // The worker killed and forgot all, and drops whatever was meant for its earlier session.
    sent = NO_SENT;
  } else if (shown && sent.size > 0) {
    // Commands under a token below the one it has seen can't be executed any more.
    const kept = [...sent].filter(([, x]) => x.token >= s.token);
    if (kept.length < sent.size) sent = new Map(kept);
  }
  const next: Session = {
    ...s,
    state: shown ? "ready" : "claiming",
    report,
    tasks: new Map(report.tasks.map((t) => [t.task, t])),
    heardAt: e.now,
    heartbeats: e.via === "heartbeat" ? s.heartbeats + 1 : s.heartbeats,
    sent,
  };
  // What is settled need not be remembered, or it grows with every task ever started there; but
  // what was answered may come again, and is remembered until the token has risen.
  if (sent.size === 0) return next;
  const open = [...sent].filter(([key]) => !forgettable(next, key));
  return open.length === sent.size ? next : { ...next, sent: new Map(open) };
};

/** The one place where a session changes. */
export const stepSession = (s: Session, e: SessionEvent): Session => {
  switch (e.kind) {
    case "held":
      if (e.token === s.token) return s;
      return {
        ...s,
        token: e.token,
        state: s.report === undefined ? "unheard" : "claiming",
        heardAt: e.now,
      };
    case "report":
      return hear(s, e);
    case "answered_heartbeat":
      return mark(s, e.starts, (old) => ({ ...old, heartbeatMark: s.heartbeats, token: s.token }));
    case "direct_sent":
      return mark(s, e.starts, (old) => ({ ...old, direct: "pending", token: s.token }));
    case "direct_answered":
      return mark(s, e.starts, (old) =>
        old === undefined ? undefined : { ...old, direct: "answered" },
      );
    case "direct_unsent":
      return mark(s, e.starts, (old) => {
        if (old === undefined || old.heartbeatMark === undefined) return undefined;
        return { heartbeatMark: old.heartbeatMark, token: old.token };
      });
    case "direct_lost":
      // It may be executed minutes later: only a higher token, seen, settles it.
      return mark(s, e.starts, (old) =>
        old === undefined ? undefined : { ...old, direct: "lost" },
      );
    case "silence":
      return s.state === "silent" ? s : { ...s, state: "silent" };
    case "anew":
      return { ...s, heardAt: e.now };
  }
};

/** No start command for this attempt can still be on its way to the machine. */
export const settled = (s: Session, key: string): boolean => {
  const x = s.sent.get(key);
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
export const forgettable = (s: Session, key: string): boolean =>
  settled(s, key) && s.sent.get(key)?.direct !== "answered";

/** Exited attempts that wait for a higher token to be forgotten: how many make it worth raising. */
const MOST_KEPT = 16;

export const worthBump = (s: Session): boolean => {
  if (s.sent.size < MOST_KEPT) return false;
  let kept = 0;
  for (const t of s.tasks.values())
    if (t.stage === "ended" && !forgettable(s, attemptKey(t.task, t.attempt))) kept++;
  return kept >= MOST_KEPT;
};

/** An earlier attempt of the task stands there and can't be forgotten yet. */
export const inTheWay = (s: Session, task: TaskId, attempt: AttemptNo): boolean => {
  const t = s.tasks.get(task);
  if (t === undefined || t.attempt === attempt) return false;
  return !forgettable(s, attemptKey(task, t.attempt));
};

/** No start of ours is on its way to the machine, and none may be. */
export const quietLine = (s: Session): boolean => {
  for (const key of s.sent.keys()) if (!settled(s, key)) return false;
  return true;
};

/** A start command was lost under the token in force: the token must rise before absence counts. */
export const needsBump = (s: Session): boolean => {
  for (const x of s.sent.values()) if (x.direct === "lost" && x.token === s.token) return true;
  return false;
};

/** What an open attempt's owner may conclude from a machine's newest report. */
export type Finding =
  | { readonly kind: "unknown" }
  /** Not there, and no command for it can still be on its way. */
  | { readonly kind: "absent" }
  /** Not there, but a start command may still arrive. */
  | { readonly kind: "unsettled" }
  | { readonly kind: "present"; readonly report: TaskReport };

export const findAttempt = (
  s: Session,
  task: TaskId,
  attempt: AttemptNo,
  key = attemptKey(task, attempt),
): Finding => {
  if (s.state !== "ready") return { kind: "unknown" };
  const t = s.tasks.get(task);
  if (t !== undefined && t.attempt === attempt) return { kind: "present", report: t };
  return { kind: settled(s, key) ? "absent" : "unsettled" };
};

/** An attempt that the records hold open on this machine, and what is wanted of it. */
export interface Wanted {
  readonly task: TaskId;
  readonly attempt: AttemptNo;
  /** Null: it may run. Otherwise it should stop, given this time to save. */
  readonly stopGraceS: number | null;
  /** Its closing is being written, or the machine is on its way out: never start it (again). */
  readonly leaving: boolean;
}

/**
 * The commands that bring a machine to what the records say, forgets and stops before starts.
 * Only valid in state `ready`. Recomputed for every answer, so a lost one repeats itself.
 */
export const ordersFor = (s: Session, wanted: ReadonlyMap<TaskId, Wanted>): readonly Order[] => {
  if (s.state !== "ready") return [];
  const first: Order[] = [];
  const starts: Order[] = [];
  for (const t of s.tasks.values()) {
    const w = wanted.get(t.task);
    const { task, attempt } = t;
    if (w !== undefined && w.attempt === attempt) {
      if (t.stage !== "ended" && w.stopGraceS !== null && t.stage !== "saving")
        first.push({ op: "stop", task, attempt, graceS: w.stopGraceS });
      else if (t.stage === "saving" && w.stopGraceS === 0)
        first.push({ op: "stop", task, attempt, graceS: 0 });
    } else if (t.stage !== "ended") {
      first.push({ op: "stop", task, attempt, graceS: 0 });
    } else if (forgettable(s, attemptKey(task, attempt))) {
      first.push({ op: "forget", task, attempt });
    }
  }
  for (const w of wanted.values()) {
    if (w.stopGraceS !== null || w.leaving) continue;
    if (s.tasks.get(w.task)?.attempt === w.attempt) continue;
    if (inTheWay(s, w.task, w.attempt)) continue;
    // Still unanswered: a second copy would only be one more to lose track of.
    if (s.sent.get(attemptKey(w.task, w.attempt))?.direct === "pending") continue;
    starts.push({ op: "start", task: w.task, attempt: w.attempt });
  }
  return [...first, ...starts];
};
