import type { MachineType } from "../protocol/cloud.js";
import type { MachineId, ShareNo } from "../protocol/ids.js";
import type { Resources } from "../protocol/jobs.js";
import { contenders, distinctNeeds } from "./placement.js";
import { fits, minus, slots } from "./resources.js";

/** Tasks that are alike for renting: same share, need and allowed machines. */
export interface DemandGroup {
  readonly share: ShareNo;
  readonly needs: Resources;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly spotAllowed: boolean;
  /** Tasks for which there should be room at once, those running now among them. */
  readonly wanted: number;
  /** Of these, tasks that wait now. */
  readonly waiting: number;
}

export interface FleetMachine {
  readonly id: MachineId;
  readonly share: ShareNo;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Reports and takes tasks; otherwise it still boots. */
  readonly up: boolean;
  readonly use: Resources;
  readonly open: number;
  /** How long nothing has stood on it. */
  readonly idleS: number;
  readonly heldS: number;
}

export interface Rent {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The share that each of the machines is for. */
  readonly shares: readonly ShareNo[];
}

export interface FleetPlan {
  readonly rents: readonly Rent[];
  readonly moves: readonly { readonly machine: MachineId; readonly to: ShareNo }[];
  readonly returns: readonly MachineId[];
}

export interface FleetInput {
  readonly types: readonly MachineType[];
  readonly machines: readonly FleetMachine[];
  readonly demand: readonly DemandGroup[];
  /** Offers refused of late, and not asked for again yet. */
  readonly refused: ReadonlySet<string>;
  /** Least charge and hysteresis: an idle machine is kept this long. */
  readonly idleReturnS: number;
  readonly maxRents: number;
  /** How long a rented machine is kept, on the whole: what its boot costs is spread over that. */
  readonly lifeS: number;
}

export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type}|${zone}|${spot ? "spot" : "ordinary"}`;

interface Room {
  readonly m: FleetMachine;
  free: Resources;
  taken: number;
}

const allows = (
  g: DemandGroup,
  o: { readonly type: string; readonly zone: string; readonly spot: boolean },
): boolean =>
  (g.types === null || g.types.includes(o.type)) &&
  (g.zone === null || g.zone === o.zone) &&
  (g.spotAllowed || !o.spot);

/** Fills rooms with a group's tasks; returns how many found none. */
const fill = (g: DemandGroup, count: number, rooms: readonly Room[]): number => {
  let left = count;
  for (const r of rooms) {
    if (left === 0) break;
    if (!allows(g, { type: r.m.type.name, zone: r.m.zone, spot: r.m.spot })) continue;
    while (left > 0 && fits(g.needs, r.free)) {
      r.free = minus(r.free, g.needs);
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
): { type: MachineType; zone: string; spot: boolean; perMachine: number } | undefined => {
  let best: { type: MachineType; zone: string; spot: boolean; perMachine: number } | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const type of input.types) {
    const perMachine = slots(g.needs, type.capacity);
    if (perMachine === 0) continue;
    for (const spot of [true, false]) {
      const price = (spot ? type.spotPrice : type.price) * (1 + type.bootS / input.lifeS);
      const cost = price / perMachine;
      for (const zone of type.zones) {
        if (!allows(g, { type: type.name, zone, spot })) continue;
        const key = offerKey(type.name, zone, spot);
        if (input.refused.has(key)) continue;
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

/**
 * What to rent, move and return. Demand is laid over the machines there are, up and booting, own
 * share first, then idle ones of other shares (moved), and what is left over is rented.
 */
export const planFleet = (input: FleetInput): FleetPlan => {
  const rooms: Room[] = input.machines.map((m) => ({
    m,
    free: minus(m.type.capacity, m.use),
    taken: 0,
  }));
  // Cheap and full ones first, so that the dear and the empty are left to be moved or returned.
  const dear = (m: FleetMachine): number =>
    (m.spot ? m.type.spotPrice : m.type.price) / Math.max(1, m.type.capacity.cpus);
  rooms.sort((a, b) => dear(a.m) - dear(b.m) || b.m.open - a.m.open || a.m.idleS - b.m.idleS);
  const moves: { machine: MachineId; to: ShareNo }[] = [];
  const moved = new Set<MachineId>();
  const unmet: { g: DemandGroup; left: number }[] = [];
  const shapes = distinctNeeds(input.demand.map((g) => g.needs));
  const rivals = (t: MachineType): number => contenders(t.capacity, shapes);
  // Needs that few types can serve choose first, and each fills what fewest others could use.
  const choices = (g: DemandGroup): number =>
    input.types.filter((t) => fits(g.needs, t.capacity)).length;
  const demand = [...input.demand].sort((a, b) => choices(a) - choices(b));
  rooms.sort((a, b) => rivals(a.m.type) - rivals(b.m.type));
  for (const g of demand) {
    const extra = Math.max(0, g.wanted);
    const own = rooms.filter((r) => r.m.share === g.share && !moved.has(r.m.id));
    const left = fill(g, extra, own);
    if (left > 0) unmet.push({ g, left });
  }
  const asked = new Map<string, number>();
  for (const m of input.machines) {
    const key = offerKey(m.type.name, m.zone, m.spot);
    asked.set(key, (asked.get(key) ?? 0) + 1);
  }
  const rents = new Map<string, Rent>();
  let total = 0;
  for (const { g, left } of unmet) {
    let rest = left;
    let waiting = Math.min(left, g.waiting);
    for (const r of rooms) {
      if (rest <= 0) break;
      if (r.m.share === g.share || r.taken > 0 || r.m.open > 0 || moved.has(r.m.id)) continue;
      const before = r.taken;
      rest = fill(g, rest, [r]);
      if (r.taken === before) continue;
      // Moved only for tasks that wait now: a forecast alone is no reason to shuffle machines.
      if (r.m.up && waiting > 0) {
        moves.push({ machine: r.m.id, to: g.share });
        waiting -= r.taken;
      }
      moved.add(r.m.id);
    }
    while (rest > 0 && total < input.maxRents) {
      const offer = bestOffer(g, input, asked);
      if (offer === undefined) break;
      const key = offerKey(offer.type.name, offer.zone, offer.spot);
      asked.set(key, (asked.get(key) ?? 0) + 1);
      const r = rents.get(key);
      rents.set(key, {
        type: offer.type.name,
        zone: offer.zone,
        spot: offer.spot,
        shares: [...(r?.shares ?? []), g.share],
      });
      total++;
      rest -= offer.perMachine;
    }
  }
  const returns = rooms
    .filter((r) => r.taken === 0 && r.m.open === 0 && r.m.up && !moved.has(r.m.id))
    .filter((r) => r.m.idleS >= input.idleReturnS)
    .map((r) => r.m.id);
  return { rents: [...rents.values()], moves, returns };
};

/** A level that follows what it sees, upwards and downwards each at its own pace. */
export const follow = (
  old: number,
  level: number,
  dtS: number,
  riseS: number,
  fallS: number,
): number => {
  const tau = level > old ? riseS : fallS;
  return tau <= 0 ? level : level + (old - level) * Math.exp(-dtS / tau);
};
