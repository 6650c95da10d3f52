/**
 * Scale-out by rental intents.
 *
 * Owns which offers were refused lately and which intents are being carried out. What must hold: an
 * intent is written before the cloud is called, so that any later leader carries it out under the
 * same name, which the cloud answers the same way however often it is asked. A name is repeated
 * until it has an answer, and never reused.
 *
 * An intent is `written` (a record), then `calling` (in flight from here), and ends by its outcome:
 * `rented` enters the machines and deletes the record in one transaction, `refused` deletes it,
 * `undecided` leaves it written.
 */
import {
  KEY_ABSENT,
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type Revision,
  shardId,
} from "@umberfold/ids";
import { MAX_RENTALS_PER_CALL, rentalBody } from "../../protocol/cloud.js";
import { offerKey, type PlannedRental } from "../../scheduling/fleet-plan.js";
import { encodeRentalIntent, keys, type RentalIntent } from "../../storage/records.js";
import type { Versioned } from "../../storage/versioned.js";
import { monotonicNow, wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { CloudClient, CloudResponse } from "./cloud-client.js";
import type { FleetRecords } from "./fleet-records.js";
import { rentalOutcome } from "./rental-outcome.js";

/** Most intents written at a time. */
const MAX_INTENTS_PER_WRITE = 8;

/** A machine type in a zone, as a spot machine or an ordinary one. */
type Offer = Pick<PlannedRental, "type" | "zone" | "spot">;

/** Writes rental intents and carries them out. */
export class Rentals {
  readonly #refusedUntil = new Map<string, MonotonicMs>();
  /** Names of intents whose calls are in flight. */
  readonly #calling = new Set<string>();
  /** Machines rented, and refusals, since the start. */
  readonly counters = { rented: 0, refused: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly cloud: CloudClient,
  ) {}

  /** Offers refused lately, and not asked for again yet, by `offerKey`. */
  refusedOffers(now: MonotonicMs): ReadonlySet<string> {
    for (const [key, until] of this.#refusedUntil) if (until <= now) this.#refusedUntil.delete(key);
    return new Set(this.#refusedUntil.keys());
  }

  /** Writes the intents to rent, unless older ones are open; any later leader carries them out. */
  async intend(rentals: readonly PlannedRental[]): Promise<void> {
    const { replica, settings, log } = this.ctx;
    if (rentals.length === 0 || replica.rentalIntents.size > 0) return;
    const maxIntents = Math.min(settings.state.txnOps, MAX_INTENTS_PER_WRITE);
    const intents = rentals
      .flatMap(splitIntoCalls)
      .slice(0, maxIntents)
      .map((rental) => ({ key: keys.rental(this.records.nextName()), rental }));
    const written = await this.records.write({
      conditions: intents.map(({ key }) => ({ key, rev: KEY_ABSENT })),
      ops: intents.map(({ key, rental }) => ({
        kind: "put",
        key,
        value: encodeRentalIntent({ ...rental, at: wallClockNow() }),
      })),
    });
    if (written) log.debug("rental intents written", { intents: intents.length });
  }

  /** Carries out written intents that are not in flight already. */
  async carryOut(): Promise<void> {
    const open = [...this.ctx.replica.rentalIntents].filter(([name]) => !this.#calling.has(name));
    await Promise.all(open.map(([name, intent]) => this.#carryOutOne(name, intent)));
  }

  async #carryOutOne(name: string, intent: Versioned<RentalIntent>): Promise<void> {
    this.#calling.add(name);
    try {
      const { value } = intent;
      const body = rentalBody({ name, ...value, count: value.shards.length });
      const answer = await this.cloud.call("POST", "/machines", body);
      if (answer !== undefined) await this.#applyOutcome(keys.rental(name), intent, answer);
    } finally {
      this.#calling.delete(name);
    }
  }

  async #applyOutcome(
    key: string,
    intent: Versioned<RentalIntent>,
    answer: CloudResponse,
  ): Promise<void> {
    const { value, rev } = intent;
    const outcome = rentalOutcome(answer);
    if (outcome.kind === "undecided") return;
    if (outcome.kind === "rented") {
      await this.#enterRented(key, rev, value, outcome.machines);
      return;
    }
    this.#recordRefusal(value);
    const ops = [{ kind: "delete", key }] as const;
    await this.records.write({ conditions: [{ key, rev }], ops });
  }

  #recordRefusal(offer: Offer): void {
    this.counters.refused++;
    const until = monotonicMs(monotonicNow() + this.ctx.operators.refusedPauseS * 1000);
    this.#refusedUntil.set(offerKey(offer.type, offer.zone, offer.spot), until);
  }

  async #enterRented(
    key: string,
    rev: Revision,
    intent: RentalIntent,
    ids: readonly MachineId[],
  ): Promise<void> {
    this.counters.rented += ids.length;
    if (ids.length < intent.shards.length) this.#recordRefusal(intent);
    const { type, zone, spot } = intent;
    const row = { type, zone, spot, endpoint: "", phase: "up", rentedAt: wallClockNow() } as const;
    // An intent that was written late, after it had been carried out and dropped, has the same
    // answer as then: what was returned since must not come back.
    const newMachines = ids.flatMap((id, i) =>
      this.records.isKnown(id) || this.records.wasReturned(id)
        ? []
        : [[id, { ...row, shard: intent.shards[i] ?? shardId(0) }] as const],
    );
    await this.records.enter(newMachines, [{ key, rev }], [{ kind: "delete", key }]);
  }
}

/** One call of the cloud rents a bounded number of machines. */
const splitIntoCalls = (rental: PlannedRental): readonly PlannedRental[] => {
  const calls: PlannedRental[] = [];
  for (let i = 0; i < rental.shards.length; i += MAX_RENTALS_PER_CALL)
    calls.push({ ...rental, shards: rental.shards.slice(i, i + MAX_RENTALS_PER_CALL) });
  return calls;
};
