/**
 * What an open attempt of a cancelled job calls for, as a pure state machine over the time since
 * the cancellation.
 *
 * It owns no state. What must hold: nothing of a cancelled job runs once the `cancel_s` setting has
 * passed, whether or not the state store can be written meanwhile; and no machine is returned while
 * an ordinary stop may still do, for a return ends everybody's tasks there.
 */

/**
 * Fraction of `cancel_s` from which on a machine on which a cancelled task isn't proved gone is to be
 * returned by the leader.
 */
const DECOMMISSION_FROM_FRACTION = 0.4;
/**
 * Fraction of `cancel_s` from which on whoever knows of such a machine returns it by a call of its
 * own, which needs neither a record nor a leader.
 */
export const FORCE_RETURN_FROM_FRACTION = 0.65;
/** Fractions of `cancel_s` from which on a first status is not awaited, and is awaited again. */
const LAST_CHANCE_FROM_FRACTION = 0.85;
const OVERDUE_FROM_FRACTION = 1;

/** A machine whose ownership is new has this long for its first status, unless time runs out. */
const FIRST_STATUS_GRACE_MS = 4000;

/**
 * How far the time that a cancellation may take has passed:
 * - `stopping`: stop commands alone;
 * - `decommissioning`: the machine is given to the leader to return;
 * - `force_returning`: a leader that didn't get to it is not waited for;
 * - `last_chance`: nor is a first status;
 * - `overdue`: the time has passed already, and haste gains nothing.
 */
export type CancellationStage =
  | "stopping"
  | "decommissioning"
  | "force_returning"
  | "last_chance"
  | "overdue";

/**
 * The stage of a cancellation.
 *
 * @param ageMs milliseconds since the cancellation was recorded
 * @param cancelMs milliseconds within which its tasks must be gone (`cancel_s`)
 */
export const cancellationStage = (ageMs: number, cancelMs: number): CancellationStage => {
  const fraction = ageMs / cancelMs;
  if (fraction < DECOMMISSION_FROM_FRACTION) return "stopping";
  if (fraction >= OVERDUE_FROM_FRACTION) return "overdue";
  if (fraction >= LAST_CHANCE_FROM_FRACTION) return "last_chance";
  return fraction >= FORCE_RETURN_FROM_FRACTION ? "force_returning" : "decommissioning";
};

/** What to do about one attempt and its machine; each action includes the ones before it. */
export type CancellationAction = "none" | "stop" | "decommission" | "force_return";

/** What is known of one open attempt of a cancelled job. */
export interface CancellationView {
  /** It is proved that the task is not on the machine and can't start there any more. */
  readonly provedGone: boolean;
  /** Milliseconds since the cancellation was recorded. */
  readonly ageMs: number;
  /** Milliseconds within which the task must be gone. */
  readonly cancelMs: number;
  /** The state store takes no writes: a record can't bring the machine's return about. */
  readonly storeFailing: boolean;
  /** How long this owner has waited for the machine's first status; null once it has one. */
  readonly awaitingStatusMs: number | null;
}

/** The action that an open attempt of a cancelled job calls for now. */
export const decideCancellationAction = (view: CancellationView): CancellationAction => {
  if (view.provedGone) return "none";
  const stage = cancellationStage(view.ageMs, view.cancelMs);
  if (stage === "stopping") return "stop";
  // The owner before may have stopped all of it: the machine shows that as soon as it is asked.
  const awaitsFirstStatus =
    view.awaitingStatusMs !== null && view.awaitingStatusMs < FIRST_STATUS_GRACE_MS;
  if (awaitsFirstStatus && stage !== "last_chance") return "stop";
  // While nothing can be written there is no use in waiting for the leader.
  return view.storeFailing || stage !== "decommissioning" ? "force_return" : "decommission";
};
