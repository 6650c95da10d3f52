/** The settings of load spreading. docs/load-spread.md describes the effect of each. */

/** The parsed settings: complete and within their bounds. */
export interface LoadSpreadSettings {
  readonly enabled: boolean;
  /** The maximum number of active shards in the span of one team. */
  readonly maxSpan: number;
  /** The span of a team with fewer open attempts and waiting tasks never grows. */
  readonly minTasks: number;
  /** Seconds for which a team's pressure must stay high before its span grows. */
  readonly growAfterS: number;
  /** Seconds for which a team's pressure must stay low before its span shrinks. */
  readonly shrinkAfterS: number;
  /**
   * A span grows only if the load of its busiest owner exceeds the load of the least loaded owner
   * outside the span by more than this factor.
   */
  readonly imbalance: number;
  /**
   * The minimum fraction, from 0 to 1, of a team's quota and of its new jobs that is planned for
   * each active shard of its span.
   */
  readonly minShare: number;
  /** Changes of a planned share below this fraction, from 0 to 1, of the quota are not written. */
  readonly shareStep: number;
  /** The planner's cost of the busiest owner's load, for each multiple of the mean load. */
  readonly loadCost: number;
  /** The planner's cost of transferring a full quota. */
  readonly transferCost: number;
  /** The maximum size of the solver's input: the number of shards, added up over all teams. */
  readonly solverCells: number;
  /** The solver's timeout in milliseconds. */
  readonly solverMs: number;
  /**
   * The period, in milliseconds, at which the leader checks all spans and the owners check which
   * shares to transfer.
   */
  readonly periodMs: number;
  /**
   * Whether machines are transferred to shards that have less than their fair amount of capacity
   * while no machine is idle.
   */
  readonly balanceMachines: boolean;
  /** Whether capacity beyond guarantees is divided fairly between teams with waiting jobs. */
  readonly fairShares: boolean;
}
