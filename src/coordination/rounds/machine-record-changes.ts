/**
 * What is to become of one machine's record: removal, decommission, transfer, a higher token floor or
 * a new endpoint. Owns no state; clears what the machine's soft state asked for once it is decided.
 */
import type { MachineId, Revision } from "@umberfold/ids";
import type { MachineRecord } from "../../storage/records.js";
import { isBlockedByEarlierAttempt } from "../ownership/attempt-observation.js";
import type { ShardState } from "../ownership/shard-state.js";
import { mustRaiseToken, shouldRaiseToken } from "../ownership/token-raise.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import type { ShardRound } from "./shard-round.js";

/** How a machine's record is to change. */
export type MachineRecordChange =
  /** The machine is gone, and so are its attempts. */
  | { readonly kind: "remove" }
  /** It goes to the shard of the new record. */
  | { readonly kind: "transfer"; readonly record: MachineRecord }
  /**
   * It stays in its shard. Written once its page is written anyway, or after this delay at the latest;
   * 0: in this round.
   */
  | { readonly kind: "update"; readonly record: MachineRecord; readonly maxDelayMs: number };

/** How long a changed endpoint may wait for other changes of its page. */
const ENDPOINT_MAX_DELAY_MS = 1500;
/** The same for a token that should rise so that ended attempts can be forgotten. */
const TOKEN_RAISE_MAX_DELAY_MS = 6000;

/** A machine as its record is reconciled. */
interface ReconciledMachine {
  readonly id: MachineId;
  /** With the endpoint that its worker last gave. */
  readonly record: MachineRecord;
  readonly session: WorkerSession;
}

/** The change that a machine's record needs now; undefined if it may stay as it is. */
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
  return { kind: "update", record: machine.record, maxDelayMs: ENDPOINT_MAX_DELAY_MS };
};

/** The transfer that the leader asked for, once the machine is proved empty. */
const transferChange = (
  state: ShardState,
  { id, record, session }: ReconciledMachine,
): MachineRecordChange | undefined => {
  const { departure } = state.machineState(id);
  if (departure.transfer === null) return undefined;
  const { to, drain, whenEmpty } = departure.transfer;
  const hasNoOpenAttempts = state.ctx.replica.shardJobs(record.shard).openAttemptsOn(id).size === 0;
  // Attempts that have ended there are forgotten by the next owner, under its higher token.
  const isIdle = [...session.tasks.values()].every((task) => task.phase === "ended");
  const isKnown = session.state === "ready" || session.status === undefined;
  const isProvedEmpty = hasNoOpenAttempts && isIdle && isKnown;
  if (isProvedEmpty || !(drain || whenEmpty)) departure.step({ kind: "transfer_ended" });
  const tokenFloor = raisedTokenFloor(state, record);
  if (!isProvedEmpty || to === record.shard || tokenFloor === undefined) return undefined;
  return { kind: "transfer", record: { ...record, shard: to, tokenFloor } };
};

/** A higher token floor, where a lost start or an ended attempt that can't be forgotten needs one. */
const tokenRaiseChange = (
  state: ShardState,
  round: ShardRound,
  { id, record, session }: ReconciledMachine,
): MachineRecordChange | undefined => {
  const { tokenRaise } = state.machineState(id);
  const isReady = session.state === "ready";
  const hasDeliveries = session.startDeliveries.size > 0 && isReady;
  if (!hasDeliveries) tokenRaise.clear();
  const isUrgent =
    mustRaiseToken(session) ||
    (hasDeliveries && (tokenRaise.isPending || hasBlockedTask(state, round, id, session)));
  if (!isUrgent && !(shouldRaiseToken(session) && isReady)) return undefined;
  const tokenFloor = raisedTokenFloor(state, record);
  if (tokenFloor === undefined) return undefined;
  const maxDelayMs = isUrgent ? 0 : TOKEN_RAISE_MAX_DELAY_MS;
  return { kind: "update", record: { ...record, tokenFloor }, maxDelayMs };
};

/** Whether a task that is open on the machine can't start for an earlier attempt of its own. */
const hasBlockedTask = (
  state: ShardState,
  round: ShardRound,
  id: MachineId,
  session: WorkerSession,
): boolean => {
  for (const [task, { attempt }] of state.ctx.replica.shardJobs(round.shard).openAttemptsOn(id))
    if (isBlockedByEarlierAttempt(session, task, attempt)) return true;
  return false;
};

/**
 * A revision above the fencing token in force: commands under it, and those of whoever owns the shard
 * later, can't be taken for earlier ones. Undefined if no such revision was seen yet.
 */
const raisedTokenFloor = (state: ShardState, record: MachineRecord): Revision | undefined => {
  const { latestSeenRevision } = state.ctx.replica;
  return latestSeenRevision > state.fencingTokenOf(record) ? latestSeenRevision : undefined;
};
