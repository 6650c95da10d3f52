import {
  KEY_ABSENT,
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type Revision,
  shardId,
} from "@umberfold/ids";
import { MAX_RENTALS_PER_CALL, parseRentedMachines, rentalBody } from "../../protocol/cloud.js";
import { offerKey, type PlannedRental } from "../../scheduling/fleet-plan.js";
import { encodeRentalIntent, keys, type RentalIntent } from "../../storage/records.js";
import type { Versioned } from "../../storage/versioned.js";
import { monotonicNow, wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { CloudClient, CloudResponse } from "./cloud-client.js";
import type { FleetRecords } from "./fleet-records.js";

/** Most intents written at a time. */
const MOST_INTENTS = 8;

/**
 * Renting. An intent is written before the cloud is called, so that any later leader carries it out
 * under the same name, which the cloud answers the same way however often it is asked.
 */
export class Rentals {
  readonly #refusedUntil = new Map<string, MonotonicMs>();
  /** Intents whose calls are under way. */
  readonly #calling = new Set<string>();
  readonly counters = { rented: 0, refused: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly cloud: CloudClient,
  ) {}

  /** Offers refused of late, and not asked for again yet. */
  refusedOffers(now: MonotonicMs): ReadonlySet<string> {
    for (const [key, until] of this.#refusedUntil) if (until <= now) this.#refusedUntil.delete(key);
    return new Set(this.#refusedUntil.keys());
  }

  /** Writes the intents to rent; they are carried out at once, and by any later leader. */
  async intend(rents: readonly PlannedRental[]): Promise<void> {
    const { replica, settings, log } = this.ctx;
    if (rents.length === 0 || replica.rentals.size > 0) return;
    const most = Math.min(settings.state.txnOps, MOST_INTENTS);
    const intents = rents
      .flatMap(inCalls)
      .slice(0, most)
      .map((rent) => ({ key: keys.rental(this.records.nextName()), rent }));
    const written = await this.records.write({
      conditions: intents.map(({ key }) => ({ key, rev: KEY_ABSENT })),
      ops: intents.map(({ key, rent }) => ({
        kind: "put",
        key,
        value: encodeRentalIntent({ ...rent, at: wallClockNow() }),
      })),
    });
    if (written) log.debug("rental intents written", { intents: intents.length });
  }

  /** Carries out written intents. A name is repeated until it has an answer, and never reused. */
  async carryOut(): Promise<void> {
    const open = [...this.ctx.replica.rentals].filter(([name]) => !this.#calling.has(name));
    await Promise.all(open.map(([name, intent]) => this.#carryOutOne(name, intent)));
  }

  async #carryOutOne(name: string, intent: Versioned<RentalIntent>): Promise<void> {
    this.#calling.add(name);
    try {
      const { value } = intent;
      const body = rentalBody({ name, ...value, count: value.shards.length });
      const answer = await this.cloud.call("POST", "/machines", body);
      if (answer !== undefined) await this.#answered(keys.rental(name), intent, answer);
    } finally {
      this.#calling.delete(name);
    }
  }

  async #answered(
    key: string,
    intent: Versioned<RentalIntent>,
    answer: CloudResponse,
  ): Promise<void> {
    const { value, rev } = intent;
    if (answer.status === 200) {
      await this.#rented(key, rev, value, parseRentedMachines(answer.body) ?? []);
      return;
    }
    const noCapacity =
      answer.status === 503 && String(JSON.stringify(answer.body)).includes("no capacity");
    if (!noCapacity && answer.status !== 400) return;
    this.#refuse(value);
    const ops = [{ kind: "delete", key }] as const;
    await this.records.write({ conditions: [{ key, rev }], ops });
  }

  #refuse(offer: { readonly type: string; readonly zone: string; readonly spot: boolean }): void {
    this.counters.refused++;
    const until = monotonicMs(monotonicNow() + this.ctx.operators.refusedPauseS * 1000);
    this.#refusedUntil.set(offerKey(offer.type, offer.zone, offer.spot), until);
  }

  async #rented(
    key: string,
    rev: Revision,
    intent: RentalIntent,
    ids: readonly MachineId[],
  ): Promise<void> {
    this.counters.rented += ids.length;
    if (ids.length < intent.shards.length) this.#refuse(intent);
    const { type, zone, spot } = intent;
    const row = { type, zone, spot, endpoint: "", phase: "up", rentedAt: wallClockNow() } as const;
    // An intent that was written late, after it had been carried out and dropped, has the same
    // answer as then: what was returned since must not come back.
    const fresh = ids.flatMap((id, i) =>
      this.records.known(id) || this.records.returned(id)
        ? []
        : [[id, { ...row, shard: intent.shards[i] ?? shardId(0) }] as const],
    );
    await this.records.enter(fresh, [{ key, rev }], [{ kind: "delete", key }]);
  }
}

/** One call of the cloud rents a bounded number of machines. */
const inCalls = (rent: PlannedRental): readonly PlannedRental[] => {
  const parts: PlannedRental[] = [];
  for (let i = 0; i < rent.shards.length; i += MAX_RENTALS_PER_CALL)
    parts.push({ ...rent, shards: rent.shards.slice(i, i + MAX_RENTALS_PER_CALL) });
  return parts;
};
