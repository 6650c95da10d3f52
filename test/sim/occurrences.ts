/**
 * Counters of what a simulated day brought about. A scenario proves nothing about a fault that did
 * not come about, so each test asserts on those that it is for.
 */

/** How often each came about over the day. */
export interface Occurrences {
  /** Cancellations confirmed to users while the state store refuses the leader, before its outage. */
  confirmedDuringRefusal: number;
  /** Those of them whose job belongs to a shard of the refused controller. */
  confirmedForRefusedOwner: number;
  /** Machines with tasks of cancelled jobs that were made to hang or cut off. */
  faultyMachines: number;
  /** Transactions without an answer that were carried out seconds later. */
  lateWrites: number;
  /** Machines whose heartbeats reached no controller. */
  muted: number;
  /** Running jobs that were cancelled within the same fifth of a second. */
  cancelledAtOnce: number;
  /** Jobs that were cancelled at the moment of their last task's end. */
  cancelledAtEnd: number;
  /** Requests that repeat, contradict or lack something. */
  oddRequests: number;
  /** Crashes of whoever was leader. */
  leaderCrashes: number;
  /** Times at which all controllers were away for longer than a lease. */
  allControllersAway: number;
  /** Cuts of a zone with one controller from the rest. */
  zoneCuts: number;
  /** Starts of tasks of jobs that are spread across zones. */
  zoneBoundStarts: number;
  /** Status requests of users during a flood of them, and how many were answered. */
  questions: number;
  answeredQuestions: number;
  /** Jobs of the flood team. */
  floodTeamJobs: number;
  /** Machines that came up minutes late, or never. */
  lateBoots: number;
  /** Writes of spans without an answer that were carried out again seconds later. */
  lateSpanWrites: number;
  /** Process pauses of controllers. */
  processPauses: number;
  /** Tasks that left a machine unfinished in an outage though nobody cancelled their job. */
  lostRuns: number;
  /** Starts on machines whose heartbeats reach no controller. */
  startsOnMutedMachines: number;
  /** Starts of tasks that fail whenever they are started. */
  failedStarts: number;
}

/** All counters at zero. */
export const noOccurrences = (): Occurrences => ({
  confirmedDuringRefusal: 0,
  confirmedForRefusedOwner: 0,
  faultyMachines: 0,
  lateWrites: 0,
  muted: 0,
  cancelledAtOnce: 0,
  cancelledAtEnd: 0,
  oddRequests: 0,
  leaderCrashes: 0,
  allControllersAway: 0,
  zoneCuts: 0,
  zoneBoundStarts: 0,
  questions: 0,
  answeredQuestions: 0,
  floodTeamJobs: 0,
  lateBoots: 0,
  lateSpanWrites: 0,
  processPauses: 0,
  lostRuns: 0,
  startsOnMutedMachines: 0,
  failedStarts: 0,
});
