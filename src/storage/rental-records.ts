/**
 * Rental intents (`now/hire/`): written before the cloud is called, so that a leader that takes
 * over in between finds out what became of the rental.
 */
import { type ShardId, shardId, type WallClockMs, wallClockMs } from "@umberfold/ids";
import { amount, count, isMap, list, text } from "../protocol/cbor.js";

/** Machines of one type in one zone that are about to be rented. */
export interface RentalIntent {
  /** The name of the machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The shard that each of the machines is for; as many are rented as are named here. */
  readonly shards: readonly ShardId[];
  /** When it was written. */
  readonly writtenAt: WallClockMs;
}

/** The stored name of each field. */
const FIELD = { type: "t", zone: "z", spot: "p", shards: "s", at: "a" } as const;

/** The stored form of a rental intent. */
export const encodeRentalIntent = (intent: RentalIntent): unknown => ({
  [FIELD.type]: intent.type,
  [FIELD.zone]: intent.zone,
  [FIELD.spot]: intent.spot,
  [FIELD.shards]: intent.shards,
  [FIELD.at]: intent.writtenAt,
});

/** Undefined if type, zone or shards can't be read; a shard that is no number is shard 0. */
export const parseRentalIntent = (value: unknown): RentalIntent | undefined => {
  if (!isMap(value)) return undefined;
  const type = text(value[FIELD.type]);
  const zone = text(value[FIELD.zone]);
  const shards = list(value[FIELD.shards])?.map(count);
  if (type === undefined || zone === undefined || shards === undefined) return undefined;
  return {
    type,
    zone,
    spot: value[FIELD.spot] === true,
    shards: shards.map((shard) => shardId(shard ?? 0)),
    writtenAt: wallClockMs(amount(value[FIELD.at]) ?? 0),
  };
};
