/**
 * Decides what to do about an open attempt of a cancelled job: a pure function of the time since
 * the cancellation and of what is known of the attempt. It holds no state.
 *
 * Invariants: no task of a cancelled job runs longer than the setting `cancel_s` after the
 * cancellation, whether or not the state store accepts writes in the meantime. No machine is
 * returned while a stop command may still be enough, because a return ends all tasks on the
 * machine, those of other jobs too.
 */

/**
 * Fraction of `cancel_s` after which a machine is decommissioned, so that the leader returns it, if
 * a cancelled task on it is not proved gone.
 */
const DECOMMISSION_START_FRACTION = 0.4;
/**
 * Fraction of `cancel_s` after which any controller that enforces the cancellation returns such a
 * machine itself by a direct call to the cloud, which needs neither a record nor a leader.
 */
export const FORCE_RETURN_START_FRACTION = 0.65;
/** Fraction of `cancel_s` after which a machine's first status is no longer waited for. */
const NEAR_DEADLINE_START_FRACTION = 0.85;
/**
 * Fraction of `cancel_s` after which the deadline is missed and a first status is waited for again.
 */
const OVERDUE_START_FRACTION = 1;

/** How long a new owner waits for a machine's first status, unless the deadline is near. */
const FIRST_STATUS_TIMEOUT_MS = 4000;

/**
 * The stages of a cancellation until its deadline, `cancel_s` after it was recorded:
 * - `stopping`: stop commands only;
 * - `decommissioning`: the machine is decommissioned, and the leader returns it;
 * - `force_returning`: the machine is returned by a direct call, without waiting for the leader;
 * - `near_deadline`: as `force_returning`, and without waiting for the machine's first status;
 * - `overdue`: the deadline is missed, so a first status is waited for again: returning a machine
 *   whose tasks may have been stopped already would not make up for it.
 */
export type CancellationStage =
  | "stopping"
  | "decommissioning"
  | "force_returning"
  | "near_deadline"
  | "overdue";

/**
 * The stage of a cancellation.
 *
 * @param ageMs milliseconds since the cancellation was recorded
 * @param cancelMs milliseconds within which all its tasks must be gone (the setting `cancel_s`)
 */
export const cancellationStage = (ageMs: number, cancelMs: number): CancellationStage => {
  const fraction = ageMs / cancelMs;
  if (fraction < DECOMMISSION_START_FRACTION) return "stopping";
  if (fraction >= OVERDUE_START_FRACTION) return "overdue";
  if (fraction >= NEAR_DEADLINE_START_FRACTION) return "near_deadline";
  return fraction >= FORCE_RETURN_START_FRACTION ? "force_returning" : "decommissioning";
};

/** What to do about an attempt and its machine; each action includes the preceding ones. */
export type CancellationAction = "none" | "stop" | "decommission" | "force_return";

/** What is known of one open attempt of a cancelled job. */
export interface CancelledAttemptView {
  /**
   * Whether it is proved that the task is not on the machine and can't be started there any more.
   */
  readonly isProvedGone: boolean;
  /** Milliseconds since the cancellation was recorded. */
  readonly ageMs: number;
  /** Milliseconds after the cancellation within which the task must be gone. */
  readonly cancelMs: number;
  /**
   * Whether calls to the state store fail. The machine can't be decommissioned then, because its
   * record can't be written.
   */
  readonly isStoreFailing: boolean;
  /**
   * How long this owner has waited for the machine's first status under its fencing token; null
   * once it has one.
   */
  readonly firstStatusWaitMs: number | null;
}

/** What to do now about an open attempt of a cancelled job. */
export const decideCancellationAction = (view: CancelledAttemptView): CancellationAction => {
  if (view.isProvedGone) return "none";
  const stage = cancellationStage(view.ageMs, view.cancelMs);
  if (stage === "stopping") return "stop";
  // The previous owner may have stopped the task already; the first status shows whether it did.
  const awaitsFirstStatus =
    view.firstStatusWaitMs !== null && view.firstStatusWaitMs < FIRST_STATUS_TIMEOUT_MS;
  if (awaitsFirstStatus && stage !== "near_deadline") return "stop";
  // While the store fails, the leader can't learn of a decommission: don't wait for it.
  return view.isStoreFailing || stage !== "decommissioning" ? "force_return" : "decommission";
};
