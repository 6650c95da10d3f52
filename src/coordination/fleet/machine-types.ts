import { type Mono, mono } from "@umberfold/ids";
import { type MachineType, parseTypes } from "../../protocol/cloud.js";
import { typesValue } from "../../storage/cluster-records.js";
import { keys } from "../../storage/records.js";
import { steadyNow } from "../../transport/clock.js";
import type { Context } from "../context.js";
import type { Cloud } from "./cloud-client.js";
import type { FleetRecords } from "./fleet-records.js";

const READ_EVERY_MS = 60_000;

/** The machine types on offer: read from the cloud by the leader, and known to all by a record. */
export class MachineTypes {
  #readAt: Mono = mono(Number.NEGATIVE_INFINITY);

  constructor(
    private readonly ctx: Context,
    private readonly records: FleetRecords,
    private readonly cloud: Cloud,
  ) {}

  all(): readonly MachineType[] {
    return this.ctx.replica.types?.value ?? [];
  }

  find(name: string): MachineType | undefined {
    return this.all().find((t) => t.name === name);
  }

  async refresh(): Promise<void> {
    const { replica } = this.ctx;
    const now = steadyNow();
    if (replica.types !== undefined && now - this.#readAt < READ_EVERY_MS) return;
    const answer = await this.cloud.call("GET", "/flavors");
    const types = answer?.status === 200 ? parseTypes(answer.body) : undefined;
    if (types === undefined || types.length === 0) return;
    this.#readAt = now;
    const value = typesValue(types);
    if (JSON.stringify(value) === JSON.stringify(typesValue(this.all()))) return;
    await this.records.write({
      conditions: [{ key: keys.types, rev: replica.rev(keys.types) }],
      ops: [{ kind: "put", key: keys.types, value }],
    });
  }
}
