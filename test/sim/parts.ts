/** The components of one simulation, for code that uses several: fault injection and workers. */
import type { SimulationContext } from "./context.js";
import type { SimulatedControllers } from "./controllers.js";
import type { Partitions } from "./partitions.js";
import type { SimulatedUsers, UserDependencies } from "./users.js";

/** Everything that fault injection acts on. */
export interface SimulationComponents extends UserDependencies {
  readonly context: SimulationContext;
  readonly controllers: SimulatedControllers;
  readonly partitions: Partitions;
  readonly users: SimulatedUsers;
}
