/**
 * Decides how one machine's record has to change: removal, decommission, transfer, a higher token
 * floor or a new endpoint. Owns no state; it ends transfer requests and clears token raise requests
 * in the machine's soft state once they are decided.
 */
import type { MachineId, Revision } from "@umberfold/ids";
import type { MachineRecord } from "../../storage/records.js";
import { isBlockedByEarlierAttempt } from "../ownership/attempt-observation.js";
import type { ShardState } from "../ownership/shard-state.js";
import {
  isExecutedButNotListed,
  mustRaiseToken,
  shouldRaiseToken,
} from "../ownership/token-raise.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import type { ShardRound } from "./shard-round.js";

/** How a machine's record is to change. */
export type MachineRecordChange =
  /** The machine is gone and has no open attempts: its record is deleted. */
  | { readonly kind: "remove" }
  /** The machine moves to the shard named in the new record. */
  | { readonly kind: "transfer"; readonly record: MachineRecord }
  /**
   * The machine stays in its shard. The change is written when its page is written anyway, or after
   * `maxDelayMs` at the latest; 0 means in this round.
   */
  | { readonly kind: "update"; readonly record: MachineRecord; readonly maxDelayMs: number };

/** How long a changed endpoint may wait for another change to the same page. */
const ENDPOINT_UPDATE_MAX_DELAY_MS = 1500;
/**
 * The same for a token raise that is not urgent: one that only lets the worker forget ended
 * attempts.
 */
const TOKEN_RAISE_MAX_DELAY_MS = 6000;

/** A machine whose record is being reconciled. */
interface ReconciledMachine {
  readonly id: MachineId;
  /** The stored record, with the endpoint that the worker last reported. */
  readonly record: MachineRecord;
  readonly session: WorkerSession;
}

/** Decides which change a machine's record needs now; undefined if it needs none. */
export const machineRecordChange = (
  state: ShardState,
  round: ShardRound,
  id: MachineId,
  record: MachineRecord,
): MachineRecordChange | undefined => {
  const { replica, log } = state.ctx;
  const openCount = replica.shardJobs(round.shard).openAttemptsOn(id).size;
  if (replica.isGone(id)) {
    const terminatedCount = round.terminatedByMachine.get(id)?.size ?? 0;
    return openCount === terminatedCount ? { kind: "remove" } : undefined;
  }
  const session = state.sessions.get(id);
  if (session === undefined || record.phase !== "up") return undefined;
  const { decommission } = state.machineState(id).departure;
  if (decommission !== null && (decommission.isForced || openCount === 0)) {
    log.info("machine decommissioned", { machine: id, reason: decommission.reason });
    return { kind: "update", record: { ...record, phase: "retiring" }, maxDelayMs: 0 };
  }
  const endpoint = session.status?.endpoint ?? record.endpoint;
  const machine = { id, record: { ...record, endpoint }, session };
  const transfer = transferChange(state, machine);
  const tokenRaise = tokenRaiseChange(state, round, machine);
  if (transfer !== undefined || tokenRaise !== undefined) return transfer ?? tokenRaise;
  if (endpoint === record.endpoint) return undefined;
  return { kind: "update", record: machine.record, maxDelayMs: ENDPOINT_UPDATE_MAX_DELAY_MS };
};

/**
 * The transfer that the leader requested, once the machine is proved empty. The request ends then;
 * a request with neither `drain` nor `whenEmpty` ends at once.
 */
const transferChange = (
  state: ShardState,
  { id, record, session }: ReconciledMachine,
): MachineRecordChange | undefined => {
  const { departure } = state.machineState(id);
  if (departure.transfer === null) return undefined;
  const { to, drain, whenEmpty } = departure.transfer;
  const hasNoOpenAttempts = state.ctx.replica.shardJobs(record.shard).openAttemptsOn(id).size === 0;
  // Ended attempts are no obstacle: the next owner has them forgotten under its higher token.
  const isIdle = [...session.tasks.values()].every((task) => task.phase === "ended");
  // The status shows all tasks only in a ready session: otherwise commands of an earlier owner may
  // still be executed. A worker that has sent this owner no status counts as empty.
  const isReadyOrWithoutStatus = session.state === "ready" || session.status === undefined;
  const isProvedEmpty = hasNoOpenAttempts && isIdle && isReadyOrWithoutStatus;
  if (isProvedEmpty || !(drain || whenEmpty)) departure.step({ kind: "transfer_ended" });
  const tokenFloor = raisedTokenFloor(state, record);
  if (!isProvedEmpty || to === record.shard || tokenFloor === undefined) return undefined;
  return { kind: "transfer", record: { ...record, shard: to, tokenFloor } };
};

/**
 * A higher token floor, if one is needed. It is urgent after a start command was lost, when a task
 * cannot start because an ended attempt cannot be forgotten under the current token, and when an
 * open attempt that was started is not listed. It is not urgent when it only lets the worker forget
 * a large number of ended attempts.
 */
const tokenRaiseChange = (
  state: ShardState,
  round: ShardRound,
  { id, record, session }: ReconciledMachine,
): MachineRecordChange | undefined => {
  const { tokenRaise } = state.machineState(id);
  const isReady = session.state === "ready";
  const isReadyWithDeliveries = session.startDeliveries.size > 0 && isReady;
  if (!isReadyWithDeliveries) tokenRaise.clear();
  const isUrgent =
    mustRaiseToken(session) ||
    (isReadyWithDeliveries &&
      (tokenRaise.isPending || hasUnprovedAttempt(state, round, id, session)));
  if (!isUrgent && !(shouldRaiseToken(session) && isReady)) return undefined;
  const tokenFloor = raisedTokenFloor(state, record);
  if (tokenFloor === undefined) return undefined;
  const maxDelayMs = isUrgent ? 0 : TOKEN_RAISE_MAX_DELAY_MS;
  return { kind: "update", record: { ...record, tokenFloor }, maxDelayMs };
};

/**
 * Whether an open attempt on the machine cannot start, because the worker still lists an earlier
 * attempt of the same task that cannot be forgotten under the current token, or cannot be concluded
 * to be absent, because it was started there.
 */
const hasUnprovedAttempt = (
  state: ShardState,
  round: ShardRound,
  id: MachineId,
  session: WorkerSession,
): boolean => {
  const openAttempts = state.ctx.replica.shardJobs(round.shard).openAttemptsOn(id);
  for (const [task, { attempt, key }] of openAttempts)
    if (
      isBlockedByEarlierAttempt(session, task, attempt) ||
      isExecutedButNotListed(session, task, attempt, key)
    )
      return true;
  return false;
};

/**
 * A revision above the machine's current fencing token, for use as its new token floor. Commands
 * sent under it, and those of any later owner of the shard, then carry a higher token than all
 * commands sent before. Undefined if the replica has seen no such revision yet.
 */
const raisedTokenFloor = (state: ShardState, record: MachineRecord): Revision | undefined => {
  const { latestSeenRevision } = state.ctx.replica;
  return latestSeenRevision > state.fencingTokenOf(record) ? latestSeenRevision : undefined;
};
