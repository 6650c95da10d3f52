/**
 * Index of the machines in all machine pages: the page that holds each machine, and the machines
 * that the cloud has reported gone. Only the replica modifies it.
 *
 * One transaction moves a machine to another page: it writes the new page and removes the machine
 * from the old one. The index may receive these two changes in either order. While both pages list
 * the machine, the page with the higher revision holds it.
 */
import type { MachineId, Revision, ShardId } from "@umberfold/ids";
import type { MachineRecord } from "./machine-records.js";

/** One machine page at the newest revision known to the replica. */
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
  /** Machines listed in a `gone` record, so reported gone by the cloud. */
  readonly gone = new Set<MachineId>();
  /** Incremented on every change; the replica also increments it when a shard's owner changes. */
  version = 0;
  readonly #pageKeyOf = new Map<MachineId, string>();

  /** `revisionOf` returns the newest known revision of a key. */
  constructor(private readonly revisionOf: (key: string) => Revision) {}

  /** The key of the page that holds a machine; undefined if no page does. */
  pageKeyOf(id: MachineId): string | undefined {
    return this.#pageKeyOf.get(id);
  }

  /** Replaces the content of a page. */
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

  /** Removes a deleted page and its machines. */
  deletePage(key: string): void {
    this.#removeMachinesNotIn(key, undefined);
    this.pages.delete(key);
  }

  /** Replaces the set of machines reported gone. */
  setGone(ids: Iterable<MachineId>): void {
    this.gone.clear();
    for (const id of ids) this.gone.add(id);
    this.version++;
  }

  /** Removes the machines of a page that its next content doesn't list. */
  #removeMachinesNotIn(key: string, next: MachinePage | undefined): void {
    this.version++;
    for (const id of this.pages.get(key)?.machines.keys() ?? []) {
      // A machine that was moved is already indexed under its new page.
      if (next?.machines.has(id) || this.#pageKeyOf.get(id) !== key) continue;
      this.#pageKeyOf.delete(id);
      this.machines.delete(id);
    }
  }
}
