/** What operators may set of load spreading. docs/load-spread.md describes each setting's effect. */

/** The settings as they are after parsing: complete and within their bounds. */
export interface LoadSpreadSettings {
  readonly enabled: boolean;
  /** The most shards that one team may span. */
  readonly maxSpan: number;
  /** A team with fewer tasks, open and waiting, is never spread. */
  readonly minTasks: number;
  /** Seconds that pressure must last before a span grows. */
  readonly growAfterS: number;
  /** Seconds that a team must be relaxed before its span shrinks. */
  readonly shrinkAfterS: number;
  /** How many times as loaded as the idlest owner the owner of a span's shard must be. */
  readonly imbalance: number;
  /** The part (0 to 1) of a team's quota that each active shard of its span is planned at least. */
  readonly minShare: number;
  /** Changes of a planned share below this part (0 to 1) of the quota are not written. */
  readonly shareStep: number;
  /** Cost to the planner of the busiest owner's load, as a multiple of the mean. */
  readonly loadCost: number;
  /** Cost to the planner of transferring a whole quota. */
  readonly transferCost: number;
  /** The solver's largest input, in teams times shards. */
  readonly solverCells: number;
  /** Milliseconds that the solver may take. */
  readonly solverMs: number;
  /** How often the leader looks at the spans, and owners at the shares they have to transfer. */
  readonly periodMs: number;
  /** Whether shards give machines to others that lack their fair part while none is idle. */
  readonly balanceMachines: boolean;
  /** Whether capacity beyond guarantees is divided fairly between the teams that wait. */
  readonly fairShares: boolean;
}
