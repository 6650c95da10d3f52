import { KEY_ABSENT, type MachineId } from "@umberfold/ids";
import { MAX_RETURNS_PER_CALL, returnBody } from "../../protocol/cloud.js";
import { encodeGoneRecord, keys } from "../../storage/records.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { CLOUD_CALL_MS, type CloudClient } from "./cloud-client.js";
import type { FleetRecords } from "./fleet-records.js";

/** Returns machines whose owners have let go of them, and keeps the proof until all have used it. */
export class Returns {
  readonly counters = { returned: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly cloud: CloudClient,
  ) {}

  /** A 200 is proof that the machines and all on them are gone. */
  async carryOut(): Promise<void> {
    const ids = this.#retiring();
    if (ids.length > 0) await this.#return(ids);
    await this.#dropProofs();
  }

  #retiring(): readonly MachineId[] {
    const { replica } = this.ctx;
    const ids: MachineId[] = [];
    for (const [id, machine] of replica.machines) {
      if (ids.length >= MAX_RETURNS_PER_CALL) break;
      if (machine.phase === "retiring" && !replica.isGone(id)) ids.push(id);
    }
    return ids;
  }

  async #return(ids: readonly MachineId[]): Promise<void> {
    const answer = await this.cloud.call("POST", "/machines/return", returnBody(ids));
    if (answer?.status !== 200) return;
    this.counters.returned += ids.length;
    this.records.noteReturned(ids);
    const key = keys.gone(this.records.nextName());
    await this.records.write({
      conditions: [{ key, rev: KEY_ABSENT }],
      ops: [{ kind: "put", key, value: encodeGoneRecord({ ids, at: wallClockNow() }) }],
    });
  }

  /** Once the owners have closed what stood there, and no list shows the machines any more. */
  async #dropProofs(): Promise<void> {
    const { replica, settings } = this.ctx;
    const keptMs = 2000 * settings.cloud.listLagS + CLOUD_CALL_MS;
    const over = [...replica.goneRecords]
      .filter(([, g]) => wallClockNow() - g.value.at > keptMs)
      .filter(([, g]) => g.value.ids.every((id) => !replica.machines.has(id)))
      .slice(0, settings.state.txnOps);
    if (over.length === 0) return;
    await this.records.write({
      conditions: over.map(([name, g]) => ({ key: keys.gone(name), rev: g.rev })),
      ops: over.map(([name]) => ({ kind: "delete", key: keys.gone(name) })),
    });
  }
}
