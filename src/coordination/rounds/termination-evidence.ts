/**
 * What proves that an open attempt is gone, so that its record may be closed and its task be started
 * elsewhere.
 *
 * Safety rests on this module: an attempt that is taken for gone while it may still run, or be started
 * by a command in flight, would run twice. Evidence is an ended status, absence behind a fencing token,
 * or the cloud's word that the machine is gone.
 */
import type { MachineId, TaskId } from "@umberfold/ids";
import type { TaskStatus } from "../../protocol/workers.js";
import type { LiveJob, MachineRecord } from "../../storage/records.js";
import type { IndexedAttempt } from "../../storage/shard-jobs.js";
import { observeAttempt } from "../ownership/attempt-observation.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import type { ShardRound } from "./shard-round.js";

/** How soon a machine is called again on which an attempt is to stop. */
const REPEAT_STOP_MS = 400;

/** A machine as a round examines its open attempts. */
export type ExaminedMachine =
  /** The cloud says that it is gone, and so is everything on it. */
  | { readonly kind: "gone" }
  /** Its worker's statuses count. */
  | { readonly kind: "observed"; readonly record: MachineRecord; readonly session: WorkerSession };

/** Whether an attempt is proved gone. */
export type TerminationEvidence =
  /** It may still run, or be started. */
  | { readonly kind: "none" }
  /** Its worker says that it ended, and how. */
  | { readonly kind: "ended"; readonly status: TaskStatus }
  /** It is gone without a status: absent from its worker, or gone with its machine. */
  | { readonly kind: "lost" };

const NO_EVIDENCE: TerminationEvidence = { kind: "none" };
const LOST: TerminationEvidence = { kind: "lost" };

/** The attempt still runs: if it should stop, its machine gets the command again after a while. */
const repeatStop = (
  state: ShardState,
  round: ShardRound,
  id: MachineId,
  isStopping: boolean,
): void => {
  const { lastCallAt } = state.machineState(id).call;
  if (!isStopping) return;
  // It may need time to save, and its next heartbeat is answered with the same command.
  if (round.now - lastCallAt < REPEAT_STOP_MS) state.dirtyMachines.add(id);
  else round.machinesToCall.add(id);
};

/** What is known of a machine; undefined if nothing can be proved of its attempts. */
export const examineMachine = (state: ShardState, id: MachineId): ExaminedMachine | undefined => {
  const { replica } = state.ctx;
  const record = replica.machines.get(id);
  // A machine leaves the records only after its attempts: one that is missing proves nothing.
  if (record === undefined) return undefined;
  if (replica.isGone(id)) return { kind: "gone" };
  const session = state.sessions.get(id);
  return session === undefined ? undefined : { kind: "observed", record, session };
};

/**
 * Looks for evidence that an open attempt is gone. Where it runs and should stop, its machine is
 * called or examined again.
 *
 * @param job undefined if it is not live any more
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
    repeatStop(state, round, id, isStopping);
    return NO_EVIDENCE;
  }
  if (observation.kind !== "absent") return NO_EVIDENCE;
  // Absent, but it may be started there (again) unless it or its machine is on the way out.
  const mayNotStart =
    isStopping || machine.record.phase !== "up" || state.isHeartbeatOverdue(id, round.now);
  return mayNotStart ? LOST : NO_EVIDENCE;
};
