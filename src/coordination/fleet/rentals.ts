/**
 * Scale-out by rental intents.
 *
 * Owns the recently refused offers and the set of intents with a call in flight. An intent is
 * written before the cloud is called, so that any later leader can execute it under the same name.
 * The call is idempotent: the cloud gives the same response to every call with that name. A call is
 * repeated under its name until it has a definite response, and no name is reused for another
 * rental.
 *
 * The states of an intent are `written` (the record exists) and `in flight` (this controller is
 * calling the cloud). It ends by its outcome: `rented` inserts the machines and deletes the record
 * in one transaction, `refused` deletes the record, and `undecided` returns it to `written`.
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

/** Maximum number of intents in one transaction. */
const MAX_INTENTS_PER_WRITE = 8;

/** A machine type in a zone, as a spot or an ordinary machine. */
type Offer = Pick<PlannedRental, "type" | "zone" | "spot">;

/** Writes rental intents and executes them. */
export class Rentals {
  /** Until when each refused offer is not requested again, by `offerKey`. */
  readonly #refusedUntil = new Map<string, MonotonicMs>();
  /** Names of the intents with a call in flight. */
  readonly #inFlight = new Set<string>();
  /** Rented machines and refusals since the process started. */
  readonly counters = { rented: 0, refused: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly cloud: CloudClient,
  ) {}

  /** Keys (`offerKey`) of recently refused offers that must not be requested yet. */
  refusedOffers(now: MonotonicMs): ReadonlySet<string> {
    for (const [key, until] of this.#refusedUntil) if (until <= now) this.#refusedUntil.delete(key);
    return new Set(this.#refusedUntil.keys());
  }

  /** Writes rental intents, unless earlier ones are pending. Any later leader can execute them. */
  async writeIntents(rentals: readonly PlannedRental[]): Promise<void> {
    const { replica, settings, log } = this.ctx;
    if (rentals.length === 0 || replica.rentalIntents.size > 0) return;
    const maxIntents = Math.min(settings.state.txnOps, MAX_INTENTS_PER_WRITE);
    const intents = rentals
      .flatMap(splitIntoCalls)
      .slice(0, maxIntents)
      .map((rental) => ({ key: keys.rental(this.records.nextRecordName()), rental }));
    const written = await this.records.write({
      conditions: intents.map(({ key }) => ({ key, rev: KEY_ABSENT })),
      ops: intents.map(({ key, rental }) => ({
        kind: "put",
        key,
        value: encodeRentalIntent({ ...rental, writtenAt: wallClockNow() }),
      })),
    });
    if (written) log.debug("rental intents written", { intents: intents.length });
  }

  /** Executes the written intents that have no call in flight. */
  async executeIntents(): Promise<void> {
    const pending = [...this.ctx.replica.rentalIntents].filter(
      ([name]) => !this.#inFlight.has(name),
    );
    await Promise.all(pending.map(([name, intent]) => this.#executeIntent(name, intent)));
  }

  async #executeIntent(name: string, intent: Versioned<RentalIntent>): Promise<void> {
    this.#inFlight.add(name);
    try {
      const { value } = intent;
      const body = rentalBody({ name, ...value, count: value.shards.length });
      const response = await this.cloud.call("POST", "/machines", body);
      if (response !== undefined) await this.#applyOutcome(keys.rental(name), intent, response);
    } finally {
      this.#inFlight.delete(name);
    }
  }

  async #applyOutcome(
    key: string,
    intent: Versioned<RentalIntent>,
    response: CloudResponse,
  ): Promise<void> {
    const { value, rev } = intent;
    const outcome = rentalOutcome(response);
    if (outcome.kind === "undecided") return;
    if (outcome.kind === "rented") {
      await this.#insertRented(key, rev, value, outcome.machines);
      return;
    }
    this.#recordRefusal(value);
    const ops = [{ kind: "delete", key }] as const;
    await this.records.write({ conditions: [{ key, rev }], ops });
  }

  #recordRefusal(offer: Offer): void {
    this.counters.refused++;
    const until = monotonicMs(monotonicNow() + this.ctx.operators.refusedOfferPauseS * 1000);
    this.#refusedUntil.set(offerKey(offer.type, offer.zone, offer.spot), until);
  }

  async #insertRented(
    key: string,
    rev: Revision,
    intent: RentalIntent,
    ids: readonly MachineId[],
  ): Promise<void> {
    this.counters.rented += ids.length;
    if (ids.length < intent.shards.length) this.#recordRefusal(intent);
    const { type, zone, spot } = intent;
    const row = { type, zone, spot, endpoint: "", phase: "up", rentedAt: wallClockNow() } as const;
    // A delayed write may recreate an intent that was already executed and deleted. The cloud then
    // repeats its response, and machines returned in the meantime must not be inserted again.
    const newMachines = ids.flatMap((id, i) =>
      this.records.isKnown(id) || this.records.wasReturned(id)
        ? []
        : [[id, { ...row, shard: intent.shards[i] ?? shardId(0) }] as const],
    );
    await this.records.insertMachines(newMachines, [{ key, rev }], [{ kind: "delete", key }]);
  }
}

/** Splits a rental into parts that respect the cloud's limit of machines for each call. */
const splitIntoCalls = (rental: PlannedRental): readonly PlannedRental[] => {
  const calls: PlannedRental[] = [];
  for (let i = 0; i < rental.shards.length; i += MAX_RENTALS_PER_CALL)
    calls.push({ ...rental, shards: rental.shards.slice(i, i + MAX_RENTALS_PER_CALL) });
  return calls;
};
