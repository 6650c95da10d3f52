/** Which controller owns which shard, as the replica shows it. Owns no state and changes nothing. */
import type { ShardId } from "@umberfold/ids";
import { type ControllerId, sameController } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

/** Answers who owns a shard. */
export class ShardOwnership {
  /** Reads the replica of the context alone. */
  constructor(private readonly ctx: ControllerContext) {}

  /** Whether this controller owns the shard and has synced everything written before its claim. */
  ownsShard(shard: ShardId): boolean {
    const owner = this.ctx.replica.shardOwners.get(shard);
    return (
      owner !== undefined &&
      sameController(owner.value, this.ctx.self) &&
      this.ctx.replica.syncedRevision >= owner.rev
    );
  }

  /** All shards for which `ownsShard` holds. */
  ownedShards(): readonly ShardId[] {
    return [...this.ctx.replica.shardOwners.keys()].filter((shard) => this.ownsShard(shard));
  }

  /** The owner by its record, alive or not; undefined if the shard was never claimed. */
  ownerOf(shard: ShardId): ControllerId | undefined {
    return this.ctx.replica.shardOwners.get(shard)?.value;
  }
}
