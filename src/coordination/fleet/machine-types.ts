/**
 * The machine types on offer: read from the cloud by the leader, and known to all by a record.
 *
 * Owns when the cloud was last asked; the types themselves are the record's. What must hold: an
 * answer without types never replaces the record.
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

/** Keeps the record of machine types in line with the cloud's offers. */
export class MachineTypes {
  #readAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly cloud: CloudClient,
  ) {}

  /** All types on offer; none before the record is known. */
  all(): readonly MachineType[] {
    return this.ctx.replica.machineTypes?.value ?? [];
  }

  /** The type of this name, if it is on offer. */
  find(name: string): MachineType | undefined {
    return this.all().find((t) => t.name === name);
  }

  /** Asks the cloud if it is time to, and writes the record if the answer differs from it. */
  async refresh(): Promise<void> {
    const { replica } = this.ctx;
    const now = monotonicNow();
    if (replica.machineTypes !== undefined && now - this.#readAt < REFRESH_INTERVAL_MS) return;
    const answer = await this.cloud.call("GET", "/flavors");
    const types = answer?.status === 200 ? parseMachineTypes(answer.body) : undefined;
    if (types === undefined || types.length === 0) return;
    this.#readAt = now;
    const value = encodeMachineTypes(types);
    if (JSON.stringify(value) === JSON.stringify(encodeMachineTypes(this.all()))) return;
    await this.records.write({
      conditions: [{ key: keys.types, rev: replica.revisionOf(keys.types) }],
      ops: [{ kind: "put", key: keys.types, value }],
    });
  }
}
