/** The parts of one simulation, for those that act on several: fault injection and the workers. */
import type { SimulationContext } from "./context.js";
import type { SimulatedControllers } from "./controllers.js";
import type { Partitions } from "./partitions.js";
import type { SimulatedUsers, UserSurroundings } from "./users.js";

/** Everything that a fault may touch. */
export interface SimulationParts extends UserSurroundings {
  readonly context: SimulationContext;
  readonly controllers: SimulatedControllers;
  readonly partitions: Partitions;
  readonly users: SimulatedUsers;
}
