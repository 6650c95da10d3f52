/**
 * Scale-in: returns decommissioned machines that their owners have released.
 *
 * Owns no state. A gone record is termination evidence for everything on the machines it names. It
 * is kept until the owners have terminated all attempts on them, and until no list of the cloud can
 * show them any more.
 */
import { KEY_ABSENT, type MachineId } from "@umberfold/ids";
import { MAX_RETURNS_PER_CALL, returnBody } from "../../protocol/cloud.js";
import { encodeGoneRecord, keys } from "../../storage/records.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { CLOUD_CALL_TIMEOUT_MS, type CloudClient } from "./cloud-client.js";
import type { FleetRecords } from "./fleet-records.js";

/**
 * The cloud's list may still show a returned machine for this many times the list's lag, plus the
 * duration of the call that reads the list.
 */
const LIST_LAG_FACTOR = 2;

/** Returns machines to the cloud and keeps the gone records. */
export class Returns {
  /** Machines whose return the cloud has confirmed since the process started. */
  readonly counters = { returned: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly cloud: CloudClient,
  ) {}

  /**
   * Returns decommissioned machines and deletes expired gone records. A response with status 200
   * proves that the machines and everything on them are gone.
   */
  async returnDecommissioned(): Promise<void> {
    const ids = this.#decommissioned();
    if (ids.length > 0) await this.#return(ids);
    await this.#deleteExpiredGoneRecords();
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
    const response = await this.cloud.call("POST", "/machines/return", returnBody(ids));
    if (response?.status !== 200) return;
    this.counters.returned += ids.length;
    this.records.recordReturned(ids);
    const key = keys.gone(this.records.nextRecordName());
    await this.records.write({
      conditions: [{ key, rev: KEY_ABSENT }],
      ops: [{ kind: "put", key, value: encodeGoneRecord({ ids, reportedAt: wallClockNow() }) }],
    });
  }

  /** Deletes gone records that are old enough and name no machine that still has a record. */
  async #deleteExpiredGoneRecords(): Promise<void> {
    const { replica, settings } = this.ctx;
    const ttlMs = LIST_LAG_FACTOR * 1000 * settings.cloud.listLagS + CLOUD_CALL_TIMEOUT_MS;
    const expired = [...replica.goneRecords]
      .filter(([, record]) => wallClockNow() - record.value.reportedAt > ttlMs)
      .filter(([, record]) => record.value.ids.every((id) => !replica.machines.has(id)))
      .slice(0, settings.state.txnOps);
    if (expired.length === 0) return;
    await this.records.write({
      conditions: expired.map(([name, record]) => ({ key: keys.gone(name), rev: record.rev })),
      ops: expired.map(([name]) => ({ kind: "delete", key: keys.gone(name) })),
    });
  }
}
