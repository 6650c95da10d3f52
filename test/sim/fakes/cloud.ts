/**
 * A stand-in for the cloud that rents machines, after its published protocol.
 *
 * Owns which machines are rented. A rental under a name that was used before gets the first one's
 * answer, so that a repeated call rents nothing more.
 */
import type { Body, Out } from "./message.js";

/** A machine as the cloud knows it. */
export interface Rented {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The cloud of one simulation or loopback cluster. */
export class FakeCloud {
  /** In an outage every request is refused. */
  down = false;
  /** Switched off, the cloud says that machines are gone, and leaves them running. */
  returns = true;
  /** The address that the list shows for a machine. */
  endpointOf: (id: string) => string = (id) => `${id}:1`;
  /** Machines that are rented, whether they came up or not. */
  readonly up = new Map<string, Rented>();
  #machineCount = 0;
  readonly #rentals = new Map<string, readonly string[]>();

  /** `begin` is told of each machine that is rented, `end` of each that is gone. */
  constructor(
    private readonly types: readonly Body[],
    private readonly capacity: number,
    private readonly begin: (machine: Rented) => void,
    private readonly end: (id: string) => void,
  ) {}

  /** Serves one request. */
  handle(path: string, body: Body | undefined): Out {
    if (this.down) return { status: 503, body: { error: "trouble" } };
    if (path === "/flavors") return { status: 200, body: { frames: this.types } };
    if (path === "/machines") return this.#rent(body ?? {});
    if (path === "/machines/return") return this.#return(body?.looms as readonly string[]);
    return this.#list();
  }

  /** The cloud takes a machine away, asked or not. */
  take(id: string): void {
    if (this.up.delete(id)) this.end(id);
  }

  #rent(body: Body): Out {
    const name = String(body.hire);
    const known = this.#rentals.get(name);
    if (known !== undefined) return { status: 200, body: { looms: known } };
    const available = this.capacity - this.up.size;
    if (available <= 0) return { status: 503, body: { error: "no capacity" } };
    const ids = Array.from({ length: Math.min(available, Number(body.count)) }, () => {
      const id = `m-${String(++this.#machineCount).padStart(6, "0")}`;
      const machine = {
        id,
        type: String(body.frame),
        zone: String(body.mill),
        spot: body.remnant === true,
      };
      this.up.set(id, machine);
      this.begin(machine);
      return id;
    });
    this.#rentals.set(name, ids);
    return { status: 200, body: { looms: ids } };
  }

  #return(ids: readonly string[] | undefined): Out {
    if (this.returns) for (const id of ids ?? []) this.take(id);
    return { status: 200, body: {} };
  }

  #list(): Out {
    const looms = [...this.up.values()].map(({ id, type, zone, spot }) => ({
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
