import type { MachineId, Revision, ShardId } from "@umberfold/ids";
import type { MachineRecord } from "./records.js";

export interface MachinePage {
  readonly shard: ShardId;
  readonly rev: Revision;
  readonly machines: ReadonlyMap<MachineId, MachineRecord>;
}

/** The machines of all pages: which page each stands in, and which are proved gone. */
export class FleetIndex {
  readonly machines = new Map<MachineId, MachineRecord>();
  readonly pages = new Map<string, MachinePage>();
  readonly gone = new Set<MachineId>();
  /** Rises with every change. */
  version = 0;
  readonly #pageOf = new Map<MachineId, string>();

  constructor(private readonly revisionOf: (key: string) => Revision) {}

  /** The key of the page that a machine stands in. */
  pageOf(id: MachineId): string | undefined {
    return this.#pageOf.get(id);
  }

  put(key: string, next: MachinePage): void {
    this.#leave(key, next);
    this.pages.set(key, next);
    for (const [id, m] of next.machines) {
      // Changes of one transaction come in any order: the younger page has the machine.
      const other = this.#pageOf.get(id);
      if (other !== undefined && other !== key && this.revisionOf(other) > next.rev) continue;
      this.#pageOf.set(id, key);
      this.machines.set(id, m);
    }
  }

  drop(key: string): void {
    this.#leave(key, undefined);
    this.pages.delete(key);
  }

  setGone(ids: Iterable<MachineId>): void {
    this.gone.clear();
    for (const id of ids) this.gone.add(id);
    this.version++;
  }

  #leave(key: string, next: MachinePage | undefined): void {
    this.version++;
    for (const id of this.pages.get(key)?.machines.keys() ?? []) {
      // A machine that moved to another page stands there already.
      if (next?.machines.has(id) || this.#pageOf.get(id) !== key) continue;
      this.#pageOf.delete(id);
      this.machines.delete(id);
    }
  }
}
