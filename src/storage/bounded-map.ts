/** A map with a maximum number of entries, which evicts the entry that was added first. */

/** Keeps the newest entries; setting an existing key doesn't make its entry newer. */
export class BoundedMap<K, V> {
  readonly #entries = new Map<K, V>();

  constructor(private readonly maxEntries: number) {}

  /** Whether the key has an entry that was not evicted. */
  has(key: K): boolean {
    return this.#entries.has(key);
  }

  /** The value of the key; undefined if it has none or was evicted. */
  get(key: K): V | undefined {
    return this.#entries.get(key);
  }

  /** Adds or replaces an entry, and evicts the oldest one if there are too many. */
  set(key: K, value: V): void {
    this.#entries.set(key, value);
    if (this.#entries.size <= this.maxEntries) return;
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }
}
