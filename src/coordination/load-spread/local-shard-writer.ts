/**
 * What load spreading needs of the owner of shards on the same controller. `ShardOwner` satisfies
 * it; being structural, it keeps load spreading independent of an owner's rounds.
 */
import type { Transaction } from "../../protocol/store.js";

/** Writes records of the shards owned here. */
export interface LocalShardWriter {
  /**
   * Writes what `decide` returns while no round is in flight, so that what the records show as open
   * is all that is. False if it has to wait, or nothing was written.
   */
  writeBetweenRounds(decide: () => Transaction | undefined): Promise<boolean>;
}
