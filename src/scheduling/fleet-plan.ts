/**
 * Plans the fleet: which machines to rent, to transfer between shards and to return.
 *
 * Owns no state: the leader's fleet planner passes all inputs and carries out the plan. Each
 * machine belongs to one shard, but demand is forecast for all shards together, because an idle
 * machine can be transferred to any shard with waiting tasks. So machines are rented only for
 * demand that exceeds the capacity of all shards together, and returned only if no shard's demand
 * could use them.
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

/** The demand groups, those that fit the fewest machine types first: they have the least choice. */
const sortByFewestFittingTypes = (input: TransferInput): readonly DemandGroup[] => {
  const fittingTypes = (group: DemandGroup): number =>
    input.types.filter((type) => fits(group.resources, type.capacity)).length;
  return [...input.demand].sort((a, b) => fittingTypes(a) - fittingTypes(b));
};

/** Machines that have been idle for the timeout, and that neither demand nor a transfer needs. */
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

/** Plans the transfers to shards that lack capacity, without rentals and returns. */
export const planIdleTransfers = (input: TransferInput): readonly MachineTransferRequest[] =>
  planTransfers(sortByFewestFittingTypes(input), freeCapacities(input), input.overloaded).transfers;

/** Plans the machines to rent, to transfer and to return. */
export const planFleet = (input: FleetInput): FleetPlan => {
  const demand = sortByFewestFittingTypes(input);
  const { transfers, unmetTasks } = planTransfers(demand, freeCapacities(input), input.overloaded);
  const capacities = freeCapacities(input);
  const rentals = planRentals(input, demand, capacities, unmetTasks);
  const returns = planReturns(input, capacities, transfers);
  return { rentals, transfers, returns };
};
