/**
 * Counters of what occurred on a simulated day. A scenario proves nothing about a fault that did
 * not occur, so each test asserts that the faults it covers did.
 */

/** How often each fault or situation occurred over the day. */
export interface Occurrences {
  /** Cancellations confirmed while the state store refuses only the leader, before its outage. */
  confirmedDuringRefusal: number;
  /** Those of `confirmedDuringRefusal` whose job is in a shard of the refused controller. */
  confirmedForRefusedOwner: number;
  /** Machines with tasks of cancelled jobs that were made to hang or cut off. */
  faultyMachines: number;
  /** Transactions without a response that were executed seconds later. */
  lateWrites: number;
  /** Machines that became muted: their heartbeats reached no controller. */
  muted: number;
  /** Running jobs that were cancelled within the same 200 ms. */
  cancelledAtOnce: number;
  /** Jobs that were cancelled just as their last task ended. */
  cancelledAtEnd: number;
  /** Repeated, contradictory or invalid requests. */
  oddRequests: number;
  /** Crashes of the current leader. */
  leaderCrashes: number;
  /** How often all controllers were down for longer than a lease. */
  allControllersAway: number;
  /** Partitions that separate a zone and one controller from the rest. */
  zoneCuts: number;
  /** Starts of tasks of jobs that are spread across zones. */
  zoneBoundStarts: number;
  /** Status requests of users during a flood of them. */
  questions: number;
  /** Those of `questions` with a successful response. */
  answeredQuestions: number;
  /** Jobs of the flood team. */
  floodTeamJobs: number;
  /** Machines that booted minutes late, or never. */
  lateBoots: number;
  /** Span writes without a response that were executed seconds later, or then a second time. */
  lateSpanWrites: number;
  /** Process pauses of controllers. */
  processPauses: number;
  /** Requests about a job to a controller that then paused, while the job was cancelled. */
  requestsDuringPauses: number;
  /** Tasks that were stopped during an outage of the state store without a cancellation. */
  lostRuns: number;
  /** Starts of tasks on muted machines. */
  startsOnMutedMachines: number;
  /** Starts of tasks of jobs with a mistake, which always fail. */
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
  requestsDuringPauses: 0,
  lostRuns: 0,
  startsOnMutedMachines: 0,
  failedStarts: 0,
});
