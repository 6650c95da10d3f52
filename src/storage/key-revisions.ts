/**
 * The revisions of the keys that the replica holds. They decide which changes are new: changes may
 * arrive in any order and more than once, and the highest revision of a key wins.
 */
import { KEY_ABSENT, type Revision } from "@umberfold/ids";
import type { StoreChange } from "../protocol/store.js";

/** The newest known revision of each key. */
export class KeyRevisions {
  readonly #revisions = new Map<string, Revision>();
  /**
   * Keys whose deletion was applied before the watch reported it, with its revision: older changes
   * that the watch reports later must not restore them.
   */
  readonly #deletedBeforeWatch = new Map<string, Revision>();

  /** The revision of a key; `KEY_ABSENT` if the key does not exist. */
  revisionOf(key: string): Revision {
    return this.#revisions.get(key) ?? KEY_ABSENT;
  }

  /** Whether this change or a newer one of the same key has been recorded. */
  isRecorded(change: StoreChange): boolean {
    const known = this.#revisions.get(change.key) ?? this.#deletedBeforeWatch.get(change.key);
    return change.rev <= (known ?? KEY_ABSENT);
  }

  /** Records a change; `syncedRevision` is the revision up to which the watch has reported. */
  record({ kind, key, rev }: StoreChange, syncedRevision: Revision): void {
    if (kind === "put") {
      this.#revisions.set(key, rev);
      this.#deletedBeforeWatch.delete(key);
      return;
    }
    this.#revisions.delete(key);
    if (rev > syncedRevision) this.#deletedBeforeWatch.set(key, rev);
  }

  /** Forgets deletions that the watch has reported by now. */
  advanceTo(syncedRevision: Revision): void {
    for (const [key, deletedRev] of this.#deletedBeforeWatch)
      if (deletedRev <= syncedRevision) this.#deletedBeforeWatch.delete(key);
  }

  /** The existing keys, each with its revision. */
  entries(): IterableIterator<[string, Revision]> {
    return this.#revisions.entries();
  }
}
