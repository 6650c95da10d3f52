/**
 * A fake of the cloud API that rents machines, following its published protocol.
 *
 * Owns the set of rented machines. Rentals are idempotent: a rental request with a name that was
 * used before gets the response to the first one and rents no further machine.
 */
import type { Body, FakeResponse } from "./message.js";

/** A rented machine as the cloud describes it. */
export interface RentedMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The cloud of one simulation or loopback cluster. */
export class FakeCloud {
  /** During an outage every request gets status 503. */
  isDown = false;
  /** If false, the cloud confirms returns but leaves the machines running. */
  carriesOutReturns = true;
  /** The endpoint that the machine list reports for a machine. */
  endpointOf: (id: string) => string = (id) => `${id}:1`;
  /** All rented machines by id, including those that have not booted. */
  readonly rentedMachines = new Map<string, RentedMachine>();
  #machineCount = 0;
  readonly #rentals = new Map<string, readonly string[]>();

  /** Calls `onRented` for each machine that is rented and `onRemoved` for each that is removed. */
  constructor(
    private readonly machineTypes: readonly Body[],
    private readonly maxMachines: number,
    private readonly onRented: (machine: RentedMachine) => void,
    private readonly onRemoved: (id: string) => void,
  ) {}

  /** Handles one request. */
  handle(path: string, body: Body | undefined): FakeResponse {
    if (this.isDown) return { status: 503, body: { error: "trouble" } };
    if (path === "/flavors") return { status: 200, body: { frames: this.machineTypes } };
    if (path === "/machines") return this.#rent(body ?? {});
    if (path === "/machines/return") return this.#return(body?.looms as readonly string[]);
    return this.#list();
  }

  /** Removes a machine: returned by a controller, or reclaimed by the cloud. */
  removeMachine(id: string): void {
    if (this.rentedMachines.delete(id)) this.onRemoved(id);
  }

  #rent(body: Body): FakeResponse {
    const name = String(body.hire);
    const earlierIds = this.#rentals.get(name);
    if (earlierIds !== undefined) return { status: 200, body: { looms: earlierIds } };
    const available = this.maxMachines - this.rentedMachines.size;
    if (available <= 0) return { status: 503, body: { error: "no capacity" } };
    const ids = Array.from({ length: Math.min(available, Number(body.count)) }, () => {
      const id = `m-${String(++this.#machineCount).padStart(6, "0")}`;
      const machine = {
        id,
        type: String(body.frame),
        zone: String(body.mill),
        spot: body.remnant === true,
      };
      this.rentedMachines.set(id, machine);
      this.onRented(machine);
      return id;
    });
    this.#rentals.set(name, ids);
    return { status: 200, body: { looms: ids } };
  }

  #return(ids: readonly string[] | undefined): FakeResponse {
    if (this.carriesOutReturns) for (const id of ids ?? []) this.removeMachine(id);
    return { status: 200, body: {} };
  }

  #list(): FakeResponse {
    const looms = [...this.rentedMachines.values()].map(({ id, type, zone, spot }) => ({
      uid: id,
      endpoint: this.endpointOf(id),
      frame: type,
      mill: zone,
      remnant: spot,
      stage: "running",
      heldS: 60,
    }));
    return { status: 200, body: { looms, hasNext: false } };
  }
}
