/**
 * Plans the fleet: which machines to rent, to transfer between shards and to return.
 *
 * Owns no state: the leader's fleet planner gives it all it needs to know, and carries the plan out.
 * Shards divide the machines, but not the forecast of demand: an idle machine goes wherever tasks
 * wait, so only what all shards together lack is rented, and only what none of them could use is
 * returned.
 */
import type { MachineId } from "@umberfold/ids";
import type { MachineTransferRequest } from "../protocol/peer.js";
import type { DemandGroup, FleetInput, FleetPlan, TransferInput } from "./fleet-model.js";
import { planRentals } from "./fleet-rentals.js";
import { type FreeCapacity, freeCapacities } from "./free-capacity.js";
import { planTransfers } from "./machine-transfers.js";
import { fits } from "./resources.js";

export {
  type DemandGroup,
  type FleetInput,
  type FleetMachine,
  type FleetPlan,
  offerKey,
  type PlannedRental,
} from "./fleet-model.js";

/** The demand, groups that fit the fewest machine types first: they have the least choice. */
const sortByFewestFittingTypes = (input: TransferInput): readonly DemandGroup[] => {
  const fittingTypes = (group: DemandGroup): number =>
    input.types.filter((type) => fits(group.resources, type.capacity)).length;
  return [...input.demand].sort((a, b) => fittingTypes(a) - fittingTypes(b));
};

/** Machines that are idle for long enough, and that neither the demand nor a transfer uses. */
const planReturns = (
  input: FleetInput,
  capacities: readonly FreeCapacity[],
  transfers: readonly MachineTransferRequest[],
): readonly MachineId[] => {
  const transferred = new Set(transfers.map((transfer) => transfer.machine));
  return capacities
    .filter(
      ({ machine, plannedTasks }) =>
        plannedTasks === 0 &&
        machine.openAttempts === 0 &&
        machine.isUp &&
        !transferred.has(machine.id) &&
        machine.idleS >= input.idleTimeoutS,
    )
    .map(({ machine }) => machine.id);
};

/** Which machines go to shards that lack capacity; rents and returns nothing. */
export const planIdleTransfers = (input: TransferInput): readonly MachineTransferRequest[] =>
  planTransfers(sortByFewestFittingTypes(input), freeCapacities(input), input.overloaded).transfers;

/** What to rent, to transfer and to return. */
export const planFleet = (input: FleetInput): FleetPlan => {
  const demand = sortByFewestFittingTypes(input);
  const { transfers, unmetTasks } = planTransfers(demand, freeCapacities(input), input.overloaded);
  const capacities = freeCapacities(input);
  const rentals = planRentals(input, demand, capacities, unmetTasks);
  const returns = planReturns(input, capacities, transfers);
  return { rentals, transfers, returns };
};
