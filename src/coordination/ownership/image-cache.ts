/**
 * An estimate of which images are in a machine's cache, from the attempts seen running there. The
 * worker doesn't report its cache, so an image may be missing here, or listed but no longer cached.
 */

/** The images presumed cached on one machine, least recently used first. */
export class ImageCache {
  readonly #sizesGb = new Map<string, number>();

  /** Whether a task with this image is expected to start without fetching it. */
  has(image: string): boolean {
    return this.#sizesGb.has(image);
  }

  /**
   * An attempt with this image was seen running. The least recently used images are evicted until
   * the rest fits into `cacheGb`; this image stays, even if it is larger than the cache.
   */
  recordUse(image: string, imageGb: number, cacheGb: number): void {
    this.#sizesGb.delete(image);
    this.#sizesGb.set(image, imageGb);
    let totalGb = 0;
    for (const sizeGb of this.#sizesGb.values()) totalGb += sizeGb;
    for (const [name, sizeGb] of this.#sizesGb) {
      if (totalGb <= cacheGb || name === image) break;
      this.#sizesGb.delete(name);
      totalGb -= sizeGb;
    }
  }
}
