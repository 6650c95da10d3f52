/**
 * Codec of rental intents (`now/hire/`). A leader writes an intent before it calls the cloud, so
 * that after a failover the next leader can find out whether the machines were rented.
 */
import { type ShardId, shardId, type WallClockMs, wallClockMs } from "@umberfold/ids";
import { amount, count, isMap, list, text } from "../protocol/cbor.js";

/** The intent to rent machines of one type in one zone. */
export interface RentalIntent {
  /** The name of the machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** One entry per machine to rent: the shard that the machine is for. */
  readonly shards: readonly ShardId[];
  /** When the intent was written. */
  readonly writtenAt: WallClockMs;
}

/** The stored name of each field. */
const FIELD = { type: "t", zone: "z", spot: "p", shards: "s", at: "a" } as const;

/** Returns the stored form of a rental intent. */
export const encodeRentalIntent = (intent: RentalIntent): unknown => ({
  [FIELD.type]: intent.type,
  [FIELD.zone]: intent.zone,
  [FIELD.spot]: intent.spot,
  [FIELD.shards]: intent.shards,
  [FIELD.at]: intent.writtenAt,
});

/** Returns undefined if type, zone or shards are invalid; an invalid shard number becomes 0. */
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
