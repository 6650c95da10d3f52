/**
 * Machines as the records know them, and the records of machines that are gone. Machines have no
 * record each: they are rows of machine pages, whose codec is in `pages.ts`.
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
 * `up`: rented, perhaps still booting. `retiring`: decommissioned, to be returned by the leader;
 * nothing new starts there. A machine that an answer of the cloud proves gone is named by a `gone`
 * record until its owner has terminated its attempts and deleted its row.
 */
export type MachinePhase = "up" | "retiring";

/** A rented machine: one row of a machine page. */
export interface MachineRecord {
  /** The shard whose owner may use it. */
  readonly shard: ShardId;
  /** The name of its machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Where its worker is called; empty until its worker has sent a heartbeat. */
  readonly endpoint: string;
  readonly phase: MachinePhase;
  readonly rentedAt: WallClockMs;
  /** No fencing token for it may be lower: a revision known when it was last raised or transferred. */
  readonly tokenFloor: Revision;
}

/** Machines that the cloud says are gone. */
export interface GoneRecord {
  readonly ids: readonly MachineId[];
  /** When the cloud said so. */
  readonly reportedAt: WallClockMs;
}

/** The stored name of each field of a gone record. */
const GONE_FIELD = { ids: "m", at: "a" } as const;

/** The stored form of a gone record. */
export const encodeGoneRecord = (gone: GoneRecord): unknown => ({
  [GONE_FIELD.ids]: gone.ids,
  [GONE_FIELD.at]: gone.reportedAt,
});

/** Undefined if no list of machines can be read; an unreadable time is 0. */
export const parseGoneRecord = (value: unknown): GoneRecord | undefined => {
  if (!isMap(value)) return undefined;
  const ids = list(value[GONE_FIELD.ids]);
  if (ids === undefined) return undefined;
  return {
    ids: ids.map((id) => machineId(String(id))),
    reportedAt: wallClockMs(amount(value[GONE_FIELD.at]) ?? 0),
  };
};
