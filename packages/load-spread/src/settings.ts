/** What operators may set of load spreading. docs/load-spread.md tells each setting's effect. */
export interface LoadSpreadSettings {
  readonly enabled: boolean;
  /** The most shards that one team may span. */
  readonly maxSpan: number;
  /** A team with fewer tasks, open and waiting, is never spread. */
  readonly minTasks: number;
  /** How long pressure must last before a span grows, and its absence before it shrinks. */
  readonly growAfterS: number;
  readonly shrinkAfterS: number;
  /** How many times as loaded as the idlest owner the owner of a span's shard must be. */
  readonly imbalance: number;
  /** The part of a team's quota that an active shard of its span is planned to have at least. */
  readonly minShare: number;
  /** Changes of a planned share below this are not written. */
  readonly shareStep: number;
  /** Costs of the planner: of an owner's load, and of each part of a quota that changes hands. */
  readonly loadCost: number;
  readonly transferCost: number;
  /** The planner's greatest input, in teams times shards, and the time that the solver may take. */
  readonly solverCells: number;
  readonly solverMs: number;
  /** How often the leader looks at the spans, and owners at what they owe to others. */
  readonly periodMs: number;
  /** Whether shards give machines to others that lack their fair part, none being idle. */
  readonly balanceMachines: boolean;
  /** Whether room beyond guarantees is divided fairly between the teams that wait. */
  readonly fairShares: boolean;
}
