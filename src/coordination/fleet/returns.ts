/**
 * Scale-in: returns decommissioned machines whose owners have let go of them.
 *
 * Owns no state; the proofs of returned machines are records. What must hold: the proof is kept
 * until the owners have terminated all that stood on the machines, and until no list of the cloud
 * can show them any more.
 */
import { KEY_ABSENT, type MachineId } from "@umberfold/ids";
import { MAX_RETURNS_PER_CALL, returnBody } from "../../protocol/cloud.js";
import { encodeGoneRecord, keys } from "../../storage/records.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { CLOUD_CALL_MS, type CloudClient } from "./cloud-client.js";
import type { FleetRecords } from "./fleet-records.js";

/** A list may show a machine for twice its lag after its return, and the call that reads it. */
const LIST_LAGS_KEPT = 2;

/** Returns machines to the cloud. */
export class Returns {
  /** Machines whose return the cloud has confirmed, since the start. */
  readonly counters = { returned: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly cloud: CloudClient,
  ) {}

  /** Returns what is to be returned; a 200 is proof that the machines and all on them are gone. */
  async carryOut(): Promise<void> {
    const ids = this.#decommissioned();
    if (ids.length > 0) await this.#return(ids);
    await this.#dropProofs();
  }

  #decommissioned(): readonly MachineId[] {
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
    this.records.recordReturned(ids);
    const key = keys.gone(this.records.nextName());
    await this.records.write({
      conditions: [{ key, rev: KEY_ABSENT }],
      ops: [{ kind: "put", key, value: encodeGoneRecord({ ids, reportedAt: wallClockNow() }) }],
    });
  }

  /** Deletes proofs that nobody needs any more. */
  async #dropProofs(): Promise<void> {
    const { replica, settings } = this.ctx;
    const keptMs = LIST_LAGS_KEPT * 1000 * settings.cloud.listLagS + CLOUD_CALL_MS;
    const expired = [...replica.goneRecords]
      .filter(([, proof]) => wallClockNow() - proof.value.reportedAt > keptMs)
      .filter(([, proof]) => proof.value.ids.every((id) => !replica.machines.has(id)))
      .slice(0, settings.state.txnOps);
    if (expired.length === 0) return;
    await this.records.write({
      conditions: expired.map(([name, proof]) => ({ key: keys.gone(name), rev: proof.rev })),
      ops: expired.map(([name]) => ({ kind: "delete", key: keys.gone(name) })),
    });
  }
}
