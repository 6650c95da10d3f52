/**
 * Machine records, and the records of machines that are gone. A machine has no key of its own: it
 * is a row of a machine page (see `pages.ts` for the codec).
 */
import {
  type MachineId,
  machineId,
  type Revision,
  type ShardId,
  type WallClockMs,
  wallClockMs,
} from "@umberfold/ids";
import { amount, isMap, list } from "../protocol/cbor.js";

/**
 * `up`: rented, possibly still booting. `retiring`: decommissioned; no new attempts start on it and
 * the leader will return it. A machine that the cloud has reported gone is listed in a `gone`
 * record until the shard's owner has terminated its attempts and deleted its row.
 */
export type MachinePhase = "up" | "retiring";

/** A rented machine: one row of a machine page. */
export interface MachineRecord {
  /** The shard that the machine belongs to; only the owner of this shard may use it. */
  readonly shard: ShardId;
  /** The name of its machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The network address of its worker; empty until the worker's first heartbeat. */
  readonly endpoint: string;
  readonly phase: MachinePhase;
  readonly rentedAt: WallClockMs;
  /**
   * The token floor: fencing tokens for this machine must not be lower. It is a revision that was
   * known when the floor was last raised or the machine was last transferred.
   */
  readonly tokenFloor: Revision;
}

/** Machines that the cloud has reported gone. */
export interface GoneRecord {
  readonly ids: readonly MachineId[];
  /** When the cloud reported it. */
  readonly reportedAt: WallClockMs;
}

/** The stored name of each field of a gone record. */
const GONE_FIELD = { ids: "m", at: "a" } as const;

/** Returns the stored form of a gone record. */
export const encodeGoneRecord = (gone: GoneRecord): unknown => ({
  [GONE_FIELD.ids]: gone.ids,
  [GONE_FIELD.at]: gone.reportedAt,
});

/** Returns undefined if the list of machines is missing or invalid; an invalid time becomes 0. */
export const parseGoneRecord = (value: unknown): GoneRecord | undefined => {
  if (!isMap(value)) return undefined;
  const ids = list(value[GONE_FIELD.ids]);
  if (ids === undefined) return undefined;
  return {
    ids: ids.map((id) => machineId(String(id))),
    reportedAt: wallClockMs(amount(value[GONE_FIELD.at]) ?? 0),
  };
};
