/**
 * The machine types on offer. The leader reads them from the cloud and writes them to a record,
 * from which all controllers know them.
 *
 * Owns the time of the latest successful read; the types themselves are kept in the record. A
 * response without types never replaces the record.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";
import { type MachineType, parseMachineTypes } from "../../protocol/cloud.js";
import { encodeMachineTypes } from "../../storage/cluster-records.js";
import { keys } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { CloudClient } from "./cloud-client.js";
import type { FleetRecords } from "./fleet-records.js";

const REFRESH_INTERVAL_MS = 60_000;

/** Keeps the record of machine types up to date with the cloud's offers. */
export class MachineTypes {
  #refreshedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly cloud: CloudClient,
  ) {}

  /** All types on offer; empty until the record is known. */
  all(): readonly MachineType[] {
    return this.ctx.replica.machineTypes?.value ?? [];
  }

  /** The type with this name, or undefined if it is not on offer. */
  find(name: string): MachineType | undefined {
    return this.all().find((type) => type.name === name);
  }

  /**
   * Reads the types from the cloud if the interval has passed since the last read, and writes the
   * record if they have changed.
   */
  async refresh(): Promise<void> {
    const { replica } = this.ctx;
    const now = monotonicNow();
    if (replica.machineTypes !== undefined && now - this.#refreshedAt < REFRESH_INTERVAL_MS) return;
    const response = await this.cloud.call("GET", "/flavors");
    const types = response?.status === 200 ? parseMachineTypes(response.body) : undefined;
    if (types === undefined || types.length === 0) return;
    this.#refreshedAt = now;
    const value = encodeMachineTypes(types);
    if (JSON.stringify(value) === JSON.stringify(encodeMachineTypes(this.all()))) return;
    await this.records.write({
      conditions: [{ key: keys.types, rev: replica.revisionOf(keys.types) }],
      ops: [{ kind: "put", key: keys.types, value }],
    });
  }
}
