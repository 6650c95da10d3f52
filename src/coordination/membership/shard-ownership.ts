/** Which controller owns which shard, read from the replica. Stateless and without writes. */
import type { ShardId } from "@umberfold/ids";
import { type ControllerId, isSameController } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

/** Queries on the owners of shards. */
export class ShardOwnership {
  /** Reads only the replica and the identity of this controller from the context. */
  constructor(private readonly ctx: ControllerContext) {}

  /**
   * Whether this controller owns the shard and its replica contains every change up to the revision
   * of the claim.
   */
  ownsShard(shard: ShardId): boolean {
    const owner = this.ctx.replica.shardOwners.get(shard);
    return (
      owner !== undefined &&
      isSameController(owner.value, this.ctx.self) &&
      this.ctx.replica.syncedRevision >= owner.rev
    );
  }

  /** All shards for which `ownsShard` holds. */
  ownedShards(): readonly ShardId[] {
    return [...this.ctx.replica.shardOwners.keys()].filter((shard) => this.ownsShard(shard));
  }

  /** The owner named in the shard's record, alive or not; undefined if it was never claimed. */
  ownerOf(shard: ShardId): ControllerId | undefined {
    return this.ctx.replica.shardOwners.get(shard)?.value;
  }
}
