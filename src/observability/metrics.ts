/** Most samples kept between two logs; more than that say nothing new about the spread. */
const MOST = 4096;

/** Times measured since the last log. Recording is an array push; sorting out waits for the log. */
export class Metrics {
  readonly #samples = new Map<string, number[]>();

  record(name: string, value: number): void {
    const s = this.#samples.get(name);
    if (s === undefined) this.#samples.set(name, [value]);
    else if (s.length < MOST) s.push(value);
  }

  /** Percentiles of what was recorded since the last call. */
  async drain(): Promise<Readonly<Record<string, unknown>>> {
    if (this.#samples.size === 0) return {};
    // Loaded on first use: it costs a third of a second of a controller's start.
    const hdr = await import("hdr-histogram-js");
    const out: Record<string, unknown> = {};
    for (const [name, samples] of this.#samples) {
      const h = hdr.build({ numberOfSignificantValueDigits: 2 });
      for (const v of samples) h.recordValue(Math.max(0, Math.round(v)));
      out[name] = {
        n: h.totalCount,
        p50: h.getValueAtPercentile(50),
        p95: h.getValueAtPercentile(95),
        max: h.maxValue,
      };
      h.destroy();
    }
    this.#samples.clear();
    return out;
  }
}
