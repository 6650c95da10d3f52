/**
 * Plans which machines to rent for tasks that found no free capacity.
 *
 * State: a `RentalPlanner` counts, for the length of one plan, what it has rented. It never plans
 * more than the input's `maxRentals`, no offer refused recently, and no machine for an overloaded
 * shard.
 */
import type { ShardId } from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";
import { type DemandGroup, type FleetInput, offerKey, type PlannedRental } from "./fleet-model.js";
import { type FreeCapacity, fillCapacities, permitsOffer } from "./free-capacity.js";
import { taskSlots } from "./resources.js";
import { createShardAssigner } from "./shard-assigner.js";

/** One kind of machine that the cloud offers, judged for the tasks of one group. */
interface Offer {
  readonly key: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** How many of the group's tasks one such machine runs at a time. */
  readonly slots: number;
  /** Price per slot, with the time spent booting spread over the machine's life. */
  readonly costPerSlot: number;
}

/**
 * Added to an offer's cost for each machine of it that there is: far below any difference of
 * prices, it only decides between zones of one price. Spread over zones, less is lost to one zone's
 * failure or to one wave of spot preemptions.
 */
const ZONE_SPREAD_COST_PER_MACHINE = 1e-6;

/** The offers of one machine type that a group's tasks may run on; none that was refused recently. */
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

/** The offers that a group's tasks may run on, in the order in which ties are decided. */
const offersFor = (group: DemandGroup, input: FleetInput, spotOnly: boolean): readonly Offer[] =>
  input.types.flatMap((type) => offersOfType(type, group, input, spotOnly));

/** The offer with the lowest price per slot, and of several the one with the fewest machines. */
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

/** Collects the rentals of one plan, and keeps them within its limits. */
class RentalPlanner {
  readonly #rentals = new Map<string, PlannedRental>();
  /** Machines by offer, rented ones and planned ones. */
  readonly #machineCount = new Map<string, number>();
  readonly #assignShard: ReturnType<typeof createShardAssigner>;
  #rentedMachines = 0;
  /** Slots that may still be rented. */
  #slotsAllowed: number;

  constructor(
    private readonly input: FleetInput,
    unmetTasks: ReadonlyMap<ShardId, number>,
  ) {
    for (const { type, zone, spot } of input.machines)
      this.#countMachine(offerKey(type.name, zone, spot));
    this.#assignShard = createShardAssigner(input, unmetTasks);
    // Demand is forecast for all shards together. While one of them is overloaded, only what the
    // others lack now is rented, or they would be given the overloaded one's part.
    this.#slotsAllowed =
      input.overloaded.size === 0
        ? Number.POSITIVE_INFINITY
        : [...unmetTasks.values()].reduce((sum, tasks) => sum + tasks, 0);
  }

  /** Rents machines with slots for this many tasks, as far as there are offers and limits allow. */
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

  /** The machines to rent, those of one offer together. */
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
 * Plans rentals for demand that the free capacities don't hold, and fills the capacities with what
 * they do hold. Required slots may fill any capacity and take any offer. Slots that are merely
 * desired get spot machines only: otherwise ordinary machines that were rented for one burst would
 * be kept for the comfort of the next.
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
