import type { Body, Out } from "./message.js";

export interface Rented {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The cloud that rents machines, after its published protocol. */
export class FakeCloud {
  down = false;
  /** The address that the list shows for a machine. */
  endpointOf: (id: string) => string = (id) => `${id}:1`;
  #n = 0;
  readonly up = new Map<string, Rented>();
  readonly #answers = new Map<string, string[]>();

  constructor(
    private readonly types: readonly Body[],
    private readonly capacity: number,
    private readonly begin: (m: Rented) => void,
    private readonly end: (id: string) => void,
  ) {}

  handle(path: string, body: Body | undefined): Out {
    if (this.down) return { status: 503, body: { error: "trouble" } };
    if (path === "/flavors") return { status: 200, body: { frames: this.types } };
    if (path === "/machines") {
      const name = String(body?.hire);
      const known = this.#answers.get(name);
      if (known !== undefined) return { status: 200, body: { looms: known } };
      const room = this.capacity - this.up.size;
      if (room <= 0) return { status: 503, body: { error: "no capacity" } };
      const ids = Array.from({ length: Math.min(room, Number(body?.count)) }, () => {
        const id = `m-${String(++this.#n).padStart(6, "0")}`;
        const m = {
          id,
          type: String(body?.frame),
          zone: String(body?.mill),
          spot: body?.remnant === true,
        };
        this.up.set(id, m);
        this.begin(m);
        return id;
      });
      this.#answers.set(name, ids);
      return { status: 200, body: { looms: ids } };
    }
    if (path === "/machines/return") {
      if (this.returns) for (const id of (body?.looms ?? []) as string[]) this.take(id);
      return { status: 200, body: {} };
    }
    const looms = [...this.up.values()].map((m) => ({
      uid: m.id,
      endpoint: this.endpointOf(m.id),
      frame: m.type,
      mill: m.zone,
      remnant: m.spot,
      stage: "running",
      heldS: 60,
    }));
    return { status: 200, body: { looms, hasNext: false } };
  }

  /** A sabotaged cloud says that machines are gone, and leaves them running. */
  returns = true;

  take(id: string): void {
    if (this.up.delete(id)) this.end(id);
  }
}
