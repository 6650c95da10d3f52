/**
 * Evidence that an open attempt is gone, so that its record may be closed and its task started
 * elsewhere.
 *
 * This module is critical for safety: if an attempt were declared gone while it may still run, or
 * be started by a command in flight, its task would run twice. An attempt is gone if its worker
 * reports that it ended; if a worker that has seen the current fencing token does not list it, and
 * no start command for it is in flight or may still be sent; or if the cloud reports that its
 * machine is gone.
 */
import type { MachineId, TaskId } from "@umberfold/ids";
import type { TaskStatus } from "../../protocol/workers.js";
import type { LiveJob, MachineRecord } from "../../storage/records.js";
import type { IndexedAttempt } from "../../storage/shard-jobs.js";
import { observeAttempt } from "../ownership/attempt-observation.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import type { ShardRound } from "./shard-round.js";

/** Minimum time between the last call to a machine and a repeated stop command. */
const STOP_RETRY_INTERVAL_MS = 400;

/** What is known of a machine when a round examines its open attempts. */
export type ExaminedMachine =
  /** The cloud reports that it is gone, so all its attempts are gone too. */
  | { readonly kind: "gone" }
  /** It has a record and a worker session, whose status is the evidence. */
  | { readonly kind: "observed"; readonly record: MachineRecord; readonly session: WorkerSession };

/** Whether an attempt is proved gone, and how. */
export type TerminationEvidence =
  /** Not proved gone: it may still run, or be started. */
  | { readonly kind: "none" }
  /** Its worker reports that it ended, with the cause. */
  | { readonly kind: "ended"; readonly status: TaskStatus }
  /** It is gone without an end status: its worker does not list it, or its machine is gone. */
  | { readonly kind: "lost" };

const NO_EVIDENCE: TerminationEvidence = { kind: "none" };
const LOST: TerminationEvidence = { kind: "lost" };

/**
 * Repeats the stop command for an attempt that still runs although it should stop. If the last call
 * to its machine was too recent, marks the machine dirty instead, for the next round.
 */
const retryStop = (
  state: ShardState,
  round: ShardRound,
  id: MachineId,
  isStopping: boolean,
): void => {
  const { lastCallAt } = state.machineState(id).call;
  if (!isStopping) return;
  // The attempt may need time to save its checkpoint, and the answer to the worker's next heartbeat
  // repeats the command anyway.
  if (round.now - lastCallAt < STOP_RETRY_INTERVAL_MS) state.dirtyMachines.add(id);
  else round.machinesToCall.add(id);
};

/** Collects what is known of a machine; undefined if it proves nothing about its attempts. */
export const examineMachine = (state: ShardState, id: MachineId): ExaminedMachine | undefined => {
  const { replica } = state.ctx;
  const record = replica.machines.get(id);
  // A machine's record is deleted only after all its attempts are closed, so a missing record is no
  // proof that an open attempt is gone.
  if (record === undefined) return undefined;
  if (replica.isGone(id)) return { kind: "gone" };
  const session = state.sessions.get(id);
  return session === undefined ? undefined : { kind: "observed", record, session };
};

/**
 * Looks for evidence that an open attempt is gone. If it still runs and should stop, its machine is
 * called again, or marked dirty for the next round.
 *
 * @param job undefined if the job is no longer live
 */
export const terminationEvidence = (
  state: ShardState,
  round: ShardRound,
  id: MachineId,
  machine: ExaminedMachine,
  [task, { attempt, key }]: readonly [TaskId, IndexedAttempt],
  job: LiveJob | undefined,
): TerminationEvidence => {
  if (machine.kind === "gone") return LOST;
  const isStopping =
    job === undefined ||
    job.cancelledAt !== null ||
    state.attemptStates.get(key)?.stopRequest != null;
  const observation = observeAttempt(machine.session, task, attempt, key);
  if (observation.kind === "present") {
    const { status } = observation;
    if (status.phase === "ended") return { kind: "ended", status };
    retryStop(state, round, id, isStopping);
    return NO_EVIDENCE;
  }
  if (observation.kind !== "absent") return NO_EVIDENCE;
  // An absent attempt may yet be started there, unless it should stop, its machine is being
  // decommissioned, or the machine gets no starts because its heartbeat is overdue.
  const mayNotStart =
    isStopping || machine.record.phase !== "up" || state.isHeartbeatOverdue(id, round.now);
  return mayNotStart ? LOST : NO_EVIDENCE;
};
