import type { MachineId, ShardId } from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";
import type { Resources } from "../protocol/jobs.js";
import type { MachineTransferRequest } from "../protocol/peer.js";
import { countCompetingShapes, distinctShapes } from "./placement.js";
import { add, fits, subtract, taskSlots } from "./resources.js";
import { shardAssigner } from "./shard-assigner.js";

/** Tasks that are alike for renting: the same need and the same allowed machines. */
export interface DemandGroup {
  readonly resources: Resources;
  readonly machineTypes: readonly string[] | null;
  readonly zone: string | null;
  readonly spotAllowed: boolean;
  /** Tasks for which there should be room, beside those running now, if it is cheap. */
  readonly desiredSlots: number;
  /** Of these, those worth the dearer offers too. */
  readonly requiredSlots: number;
  /** Tasks that wait now, by shard. */
  readonly waiting: ReadonlyMap<ShardId, number>;
  readonly priority: number;
  /** Its objectives leave no time to wait for a boot. */
  readonly urgent: boolean;
}

export interface FleetMachine {
  readonly id: MachineId;
  readonly shard: ShardId;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Reports and takes tasks; otherwise it still boots. */
  readonly up: boolean;
  readonly use: Resources;
  readonly openAttempts: number;
  /** What stands there: its rank, its need, and what stopping it would throw away. */
  readonly tasks: readonly {
    readonly priority: number;
    readonly resources: Resources;
    readonly lossS: number;
  }[];
  /** How long nothing has stood on it. */
  readonly idleS: number;
  readonly heldS: number;
}

export interface PlannedRental {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The shard that each of the machines is for. */
  readonly shards: readonly ShardId[];
}

export interface FleetPlan {
  readonly rentals: readonly PlannedRental[];
  readonly transfers: readonly MachineTransferRequest[];
  readonly returns: readonly MachineId[];
}

export interface FleetInput {
  readonly types: readonly MachineType[];
  readonly machines: readonly FleetMachine[];
  readonly demand: readonly DemandGroup[];
  /** Offers refused of late, and not asked for again yet. */
  readonly refusedOffers: ReadonlySet<string>;
  /** Least charge and hysteresis: an idle machine is kept this long. */
  readonly idleReturnS: number;
  readonly maxRentals: number;
  /** How long a rented machine is kept, on the whole: what its boot costs is spread over that. */
  readonly machineLifeS: number;
  /** How many shards there are. */
  readonly shardCount: number;
  /** Shards whose owners don't keep up with the machines they have: they are given no more. */
  readonly overloaded: ReadonlySet<ShardId>;
}

export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type}|${zone}|${spot ? "spot" : "ordinary"}`;

interface Room {
  readonly m: FleetMachine;
  free: Resources;
  taken: number;
  moved: boolean;
  readonly yielded: Set<FleetMachine["tasks"][number]>;
  /** What clearing the machine would throw away. */
  readonly lossS: number;
}

const allows = (
  g: DemandGroup,
  o: { readonly type: string; readonly zone: string; readonly spot: boolean },
): boolean =>
  (g.machineTypes === null || g.machineTypes.includes(o.type)) &&
  (g.zone === null || g.zone === o.zone) &&
  (g.spotAllowed || !o.spot);

/** Fills rooms with a group's tasks; returns how many found none. */
const fill = (g: DemandGroup, count: number, rooms: readonly Room[]): number => {
  let left = count;
  for (const r of rooms) {
    if (left === 0) break;
    if (!allows(g, { type: r.m.type.name, zone: r.m.zone, spot: r.m.spot })) continue;
    while (left > 0 && fits(g.resources, r.free)) {
      r.free = subtract(r.free, g.resources);
      r.taken++;
      left--;
    }
  }
  return left;
};

/** What to rent for tasks that found no room: the lowest price per slot, then the fastest boot. */
const bestOffer = (
  g: DemandGroup,
  input: FleetInput,
  asked: ReadonlyMap<string, number>,
  spotOnly: boolean,
): { type: MachineType; zone: string; spot: boolean; perMachine: number } | undefined => {
  let best: { type: MachineType; zone: string; spot: boolean; perMachine: number } | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const type of input.types) {
    const perMachine = taskSlots(g.resources, type.capacity);
    if (perMachine === 0) continue;
    for (const spot of spotOnly ? [true] : [true, false]) {
      const price = (spot ? type.spotPrice : type.price) * (1 + type.bootS / input.machineLifeS);
      const cost = price / perMachine;
      for (const zone of type.zones) {
        if (!allows(g, { type: type.name, zone, spot })) continue;
        const key = offerKey(type.name, zone, spot);
        if (input.refusedOffers.has(key)) continue;
        // Spread over zones: what one cut or wave can take is limited.
        const spread = (asked.get(key) ?? 0) * 1e-6;
        if (cost + spread < bestCost) {
          bestCost = cost + spread;
          best = { type, zone, spot, perMachine };
        }
      }
    }
  }
  return best;
};

interface Short {
  readonly g: DemandGroup;
  readonly shard: ShardId;
  left: number;
}

/** What of a machine's tasks a group may stop counts as free for it from here on. */
const yieldTo = (g: DemandGroup, r: Room): void => {
  for (const t of r.m.tasks)
    if (t.priority > g.priority && !r.yielded.has(t)) {
      r.free = add(r.free, t.resources);
      r.yielded.add(t);
    }
};

/**
 * Machines that are as good as one another are taken from the shards that have most of them: each
 * shard that gives some away writes for it, however many they are.
 */
const gather = (rooms: Room[]): void => {
  const kindOf = (r: Room): string => `${r.m.type.name}|${r.m.spot}`;
  const kinds = new Map<string, number>();
  const has = new Map<string, number>();
  for (const r of rooms) {
    if (!kinds.has(kindOf(r))) kinds.set(kindOf(r), kinds.size);
    const key = `${kindOf(r)}|${r.m.shard}`;
    has.set(key, (has.get(key) ?? 0) + 1);
  }
  const count = (r: Room): number => has.get(`${kindOf(r)}|${r.m.shard}`) ?? 0;
  rooms.sort(
    (a, b) =>
      (kinds.get(kindOf(a)) ?? 0) - (kinds.get(kindOf(b)) ?? 0) ||
      count(b) - count(a) ||
      a.m.shard - b.m.shard,
  );
};

/** Gives whole machines of other shards to what is short, in this order of preference. */
const take = (
  short: readonly Short[],
  rooms: readonly Room[],
  drain: boolean,
): MachineTransferRequest[] => {
  const out: MachineTransferRequest[] = [];
  for (const u of short) {
    if (drain && !u.g.urgent) continue;
    const others = rooms.filter(
      (r) => r.m.shard !== u.shard && r.m.up && !r.moved && r.taken === 0 && r.yielded.size === 0,
    );
    const candidates = drain
      ? others.filter(
          (r) => r.m.openAttempts > 0 && r.m.tasks.every((t) => t.priority > u.g.priority),
        )
      : others.filter((r) => r.m.openAttempts === 0);
    if (drain) candidates.sort((a, b) => a.lossS - b.lossS);
    else gather(candidates);
    for (const r of candidates) {
      if (u.left === 0) break;
      if (drain) yieldTo(u.g, r);
      u.left = fill(u.g, u.left, [r]);
      if (r.taken === 0) continue;
      r.moved = true;
      out.push({ machine: r.m.id, to: u.shard, drain });
    }
  }
  return out;
};

/**
 * Lays the waiting tasks of each shard over its own machines, then over idle ones of others, and
 * the urgent also over machines of others that hold only work of lower rank. Within its own shard
 * a owner preempts by itself.
 */
const planMoves = (
  demand: readonly DemandGroup[],
  rooms: readonly Room[],
  overloaded: ReadonlySet<ShardId>,
): {
  readonly moves: readonly MachineTransferRequest[];
  readonly short: ReadonlyMap<ShardId, number>;
} => {
  const unmet: Short[] = [];
  for (const g of [...demand].sort((a, b) => a.priority - b.priority))
    for (const [shard, n] of g.waiting) {
      const own = rooms.filter((r) => r.m.shard === shard);
      let left = fill(g, n, own);
      if (left > 0 && g.urgent) {
        for (const r of own) yieldTo(g, r);
        left = fill(g, left, own);
      }
      if (left > 0 && !overloaded.has(shard)) unmet.push({ g, shard, left });
    }
  const moves = [...take(unmet, rooms, false), ...take(unmet, rooms, true)];
  const short = new Map<ShardId, number>();
  for (const u of unmet) if (u.left > 0) short.set(u.shard, (short.get(u.shard) ?? 0) + u.left);
  return { moves, short };
};

type Ground = Pick<FleetInput, "types" | "machines" | "demand" | "shardCount" | "overloaded">;

const dear = (m: FleetMachine): number =>
  (m.spot ? m.type.spotPrice : m.type.price) / Math.max(1, m.type.capacity.cpus);

/**
 * The machines' free room, in the order it is filled: what fewest needs could use first; then the
 * cheap and the full, so that the dear and the empty are left to be returned.
 */
const roomsOf = (input: Ground): Room[] => {
  const shapes = distinctShapes(input.demand.map((g) => g.resources));
  const rivals = new Map(
    input.types.map((t) => [t.name, countCompetingShapes(t.capacity, shapes)]),
  );
  const rooms = input.machines.map((m) => ({
    m,
    free: subtract(m.type.capacity, m.use),
    taken: 0,
    moved: false,
    yielded: new Set<FleetMachine["tasks"][number]>(),
    lossS: m.tasks.reduce((sum, task) => sum + task.lossS, 0),
  }));
  return rooms.sort(
    (a, b) =>
      (rivals.get(a.m.type.name) ?? 0) - (rivals.get(b.m.type.name) ?? 0) ||
      dear(a.m) - dear(b.m) ||
      b.m.openAttempts - a.m.openAttempts ||
      a.m.idleS - b.m.idleS,
  );
};

/** Needs that few types can serve choose first. */
const byChoice = (input: Ground): readonly DemandGroup[] => {
  const choices = (g: DemandGroup): number =>
    input.types.filter((t) => fits(g.resources, t.capacity)).length;
  return [...input.demand].sort((a, b) => choices(a) - choices(b));
};

/** Which idle machines go to shards that lack room, nothing else being moved for them. */
export const planIdleTransfers = (input: Ground): readonly MachineTransferRequest[] =>
  planMoves(byChoice(input), roomsOf(input), input.overloaded).moves;

/**
 * What to rent, move and return. Shares divide the machines, but not the forecast: an idle machine
 * goes wherever tasks wait, so only what all of them together lack is rented, and only what none
 * of them wants is returned.
 */
export const planFleet = (input: FleetInput): FleetPlan => {
  const demand = byChoice(input);
  const { moves: transfers, short } = planMoves(demand, roomsOf(input), input.overloaded);
  const moved = new Set(transfers.map((m) => m.machine));

  const rooms = roomsOf(input);
  const asked = new Map<string, number>();
  for (const m of input.machines) {
    const key = offerKey(m.type.name, m.zone, m.spot);
    asked.set(key, (asked.get(key) ?? 0) + 1);
  }
  const assign = shardAssigner(input, short);
  const rents = new Map<string, PlannedRental>();
  let total = 0;
  // Demand is forecast for all shards together; beside an overloaded one only what others lack counts.
  let lacking =
    input.overloaded.size === 0
      ? Number.POSITIVE_INFINITY
      : [...short.values()].reduce((sum, n) => sum + n, 0);
  const rent = (g: DemandGroup, count: number, spotOnly: boolean): void => {
    let rest = count;
    while (rest > 0 && total < input.maxRentals && lacking > 0) {
      const offer = bestOffer(g, input, asked, spotOnly);
      if (offer === undefined) break;
      const key = offerKey(offer.type.name, offer.zone, offer.spot);
      asked.set(key, (asked.get(key) ?? 0) + 1);
      const r = rents.get(key);
      rents.set(key, {
        type: offer.type.name,
        zone: offer.zone,
        spot: offer.spot,
        shards: [...(r?.shards ?? []), assign(offer.type.capacity.cpus, offer.perMachine)],
      });
      total++;
      rest -= offer.perMachine;
      lacking -= offer.perMachine;
    }
  };
  // What is needed may take any room; what is merely wanted only the cheap, or ordinary machines
  // rented for one burst would stay for the comfort of the next.
  for (const g of demand) rent(g, fill(g, g.requiredSlots, rooms), false);
  const cheap = rooms.filter((r) => r.m.spot);
  for (const g of demand)
    rent(g, fill(g, Math.max(0, g.desiredSlots - g.requiredSlots), cheap), true);
  const returns = rooms
    .filter((r) => r.taken === 0 && r.m.openAttempts === 0 && r.m.up && !moved.has(r.m.id))
    .filter((r) => r.m.idleS >= input.idleReturnS)
    .map((r) => r.m.id);
  return { rentals: [...rents.values()], transfers, returns };
};

/** A level that follows what it sees, upwards and downwards each at its own pace. */
export const smoothToward = (
  old: number,
  level: number,
  dtS: number,
  riseS: number,
  fallS: number,
): number => {
  const tau = level > old ? riseS : fallS;
  return tau <= 0 ? level : level + (old - level) * Math.exp(-dtS / tau);
};
