/**
 * The machines of all machine pages, the page that each is in, and which of them are proved gone.
 * Changed by the replica alone.
 *
 * A machine that moves from one page to another is written into the new page and deleted from the
 * old one by one transaction, whose changes come in any order: the page of the higher revision has
 * the machine.
 */
import type { MachineId, Revision, ShardId } from "@umberfold/ids";
import type { MachineRecord } from "./machine-records.js";

/** One machine page, as it was last read. */
export interface MachinePage {
  readonly shard: ShardId;
  readonly rev: Revision;
  readonly machines: ReadonlyMap<MachineId, MachineRecord>;
}

/** The machines of all shards. */
export class FleetIndex {
  /** Machines by id. */
  readonly machines = new Map<MachineId, MachineRecord>();
  /** Pages by key. */
  readonly pages = new Map<string, MachinePage>();
  /** The machines that a gone record names. */
  readonly gone = new Set<MachineId>();
  /** Rises with every change; the replica raises it for shard owners, too. */
  version = 0;
  readonly #pageKeyOf = new Map<MachineId, string>();

  /** `revisionOf` answers the newest revision of a key. */
  constructor(private readonly revisionOf: (key: string) => Revision) {}

  /** The key of the page that a machine is in. */
  pageKeyOf(id: MachineId): string | undefined {
    return this.#pageKeyOf.get(id);
  }

  /** A page was written. */
  putPage(key: string, page: MachinePage): void {
    this.#removeMachinesNotIn(key, page);
    this.pages.set(key, page);
    for (const [id, machine] of page.machines) {
      const otherKey = this.#pageKeyOf.get(id);
      const isInNewerPage =
        otherKey !== undefined && otherKey !== key && this.revisionOf(otherKey) > page.rev;
      if (isInNewerPage) continue;
      this.#pageKeyOf.set(id, key);
      this.machines.set(id, machine);
    }
  }

  /** A page was deleted. */
  deletePage(key: string): void {
    this.#removeMachinesNotIn(key, undefined);
    this.pages.delete(key);
  }

  /** Replaces the set of machines that are proved gone. */
  setGone(ids: Iterable<MachineId>): void {
    this.gone.clear();
    for (const id of ids) this.gone.add(id);
    this.version++;
  }

  /** Removes the machines of a page that its next content lacks. */
  #removeMachinesNotIn(key: string, next: MachinePage | undefined): void {
    this.version++;
    for (const id of this.pages.get(key)?.machines.keys() ?? []) {
      // A machine that moved to another page is indexed there already.
      if (next?.machines.has(id) || this.#pageKeyOf.get(id) !== key) continue;
      this.#pageKeyOf.delete(id);
      this.machines.delete(id);
    }
  }
}
