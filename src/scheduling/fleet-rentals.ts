/**
 * Plans which machines to rent for demand that exceeds the free capacity.
 *
 * State: a `RentalPlanner` exists for one plan and counts the machines that it has planned to rent.
 * It never plans more than the input's `maxRentals`, a recently refused offer, or a machine for an
 * overloaded shard.
 */
import type { ShardId } from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";
import { type DemandGroup, type FleetInput, offerKey, type PlannedRental } from "./fleet-model.js";
import { type FreeCapacity, fillCapacities, permitsOffer } from "./free-capacity.js";
import { taskSlots } from "./resources.js";
import { createShardAssigner } from "./shard-assigner.js";

/** An offer of the cloud, with its slots and cost for the tasks of one group. */
interface Offer {
  readonly key: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** How many of the group's tasks fit on one such machine at the same time. */
  readonly slots: number;
  /** Price per slot, with the cost of the boot spread over the machine's mean lifetime. */
  readonly costPerSlot: number;
}

/**
 * Added to an offer's cost for each machine of this offer that is rented or planned, so that
 * machines are spread over zones and the failure of one zone, or a wave of spot preemptions in it,
 * affects fewer of them. It is far below any price difference, so it only decides between offers of
 * equal cost.
 */
const ZONE_SPREAD_COST_PER_MACHINE = 1e-6;

/** The offers of one machine type that a group's tasks may use, except recently refused ones. */
const offersOfType = (
  type: MachineType,
  group: DemandGroup,
  input: FleetInput,
  spotOnly: boolean,
): readonly Offer[] => {
  const slots = taskSlots(group.resources, type.capacity);
  if (slots === 0) return [];
  return (spotOnly ? [true] : [true, false]).flatMap((spot) => {
    const price =
      (spot ? type.spotPrice : type.price) * (1 + type.bootS / input.meanMachineLifetimeS);
    const costPerSlot = price / slots;
    return type.zones
      .filter((zone) => permitsOffer(group, { type: type.name, zone, spot }))
      .map((zone) => ({
        key: offerKey(type.name, zone, spot),
        type,
        zone,
        spot,
        slots,
        costPerSlot,
      }))
      .filter(({ key }) => !input.refusedOffers.has(key));
  });
};

/** The offers that a group's tasks may use. Of offers with equal cost the first one is chosen. */
const offersFor = (group: DemandGroup, input: FleetInput, spotOnly: boolean): readonly Offer[] =>
  input.types.flatMap((type) => offersOfType(type, group, input, spotOnly));

/** The offer with the lowest cost per slot. Of equal ones, that with the fewest machines so far. */
const cheapestOffer = (
  offers: readonly Offer[],
  machineCount: ReadonlyMap<string, number>,
): Offer | undefined => {
  let cheapest: Offer | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const offer of offers) {
    const cost =
      offer.costPerSlot + (machineCount.get(offer.key) ?? 0) * ZONE_SPREAD_COST_PER_MACHINE;
    if (cost < lowestCost) {
      lowestCost = cost;
      cheapest = offer;
    }
  }
  return cheapest;
};

/** Collects the rentals of one plan within its limits. */
class RentalPlanner {
  readonly #rentals = new Map<string, PlannedRental>();
  /** Number of machines by offer: those already rented, and those planned. */
  readonly #machineCount = new Map<string, number>();
  readonly #assignShard: ReturnType<typeof createShardAssigner>;
  #rentedMachines = 0;
  /** Number of slots that may still be rented. */
  #slotsAllowed: number;

  constructor(
    private readonly input: FleetInput,
    unmetTasks: ReadonlyMap<ShardId, number>,
  ) {
    for (const { type, zone, spot } of input.machines)
      this.#countMachine(offerKey(type.name, zone, spot));
    this.#assignShard = createShardAssigner(input, unmetTasks);
    // Demand is forecast for all shards together. While a shard is overloaded, rentals are limited
    // to the current unmet demand of the others: otherwise they would also get the machines that
    // are forecast for the overloaded shard.
    this.#slotsAllowed =
      input.overloaded.size === 0
        ? Number.POSITIVE_INFINITY
        : [...unmetTasks.values()].reduce((sum, tasks) => sum + tasks, 0);
  }

  /** Plans machines with slots for this many tasks, as far as offers and limits allow. */
  rentFor(group: DemandGroup, taskCount: number, spotOnly: boolean): void {
    if (taskCount <= 0) return;
    const offers = offersFor(group, this.input, spotOnly);
    let remaining = taskCount;
    while (
      remaining > 0 &&
      this.#rentedMachines < this.input.maxRentals &&
      this.#slotsAllowed > 0
    ) {
      const offer = cheapestOffer(offers, this.#machineCount);
      if (offer === undefined) return;
      this.#rent(offer);
      remaining -= offer.slots;
    }
  }

  /** The planned rentals, one entry per offer. */
  rentals(): readonly PlannedRental[] {
    return [...this.#rentals.values()];
  }

  #rent({ key, type, zone, spot, slots }: Offer): void {
    this.#countMachine(key);
    const shard = this.#assignShard(type.capacity.cpus, slots);
    const shards = [...(this.#rentals.get(key)?.shards ?? []), shard];
    this.#rentals.set(key, { type: type.name, zone, spot, shards });
    this.#rentedMachines++;
    this.#slotsAllowed -= slots;
  }

  #countMachine(key: string): void {
    this.#machineCount.set(key, (this.#machineCount.get(key) ?? 0) + 1);
  }
}

/**
 * Fills the free capacities with the demand, and plans rentals for the rest. Required slots may use
 * any free capacity and any offer. The other desired slots use spot machines only: otherwise
 * ordinary machines that were rented for one burst would be kept in case of another.
 */
export const planRentals = (
  input: FleetInput,
  demand: readonly DemandGroup[],
  capacities: readonly FreeCapacity[],
  unmetTasks: ReadonlyMap<ShardId, number>,
): readonly PlannedRental[] => {
  const planner = new RentalPlanner(input, unmetTasks);
  for (const group of demand)
    planner.rentFor(group, fillCapacities(group, group.requiredSlots, capacities), false);
  const spotCapacities = capacities.filter((c) => c.machine.spot);
  for (const group of demand) {
    const optionalSlots = Math.max(0, group.desiredSlots - group.requiredSlots);
    planner.rentFor(group, fillCapacities(group, optionalSlots, spotCapacities), true);
  }
  return planner.rentals();
};
