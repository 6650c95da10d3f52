/**
 * The interface to the shard owner on the same controller, as far as load spreading needs it.
 * `ShardOwner` satisfies it structurally, so load spreading does not depend on the code of rounds.
 */
import type { Transaction } from "../../protocol/store.js";

/** Writes records of the shards that this controller owns. */
export interface LocalShardWriter {
  /**
   * Writes the transaction that `decide` returns, while no round is in flight, so that the records
   * show all open attempts. Returns false if a round is in flight or nothing was written.
   */
  writeBetweenRounds(decide: () => Transaction | undefined): Promise<boolean>;
}
