/**
 * Samples of how long things took, gathered between two `stats` events.
 *
 * It owns the samples since the last `drain`. Recording is an array push; percentiles wait for the
 * log. The histogram library is loaded on first use: it costs a third of a second of a controller's
 * start.
 */

/** Most samples kept of one name between two logs; more say nothing new about the spread. */
const MAX_SAMPLES_PER_NAME = 4096;
const SIGNIFICANT_DIGITS = 2;

/** How the samples of one name are spread, in their own unit. */
export interface SampleSummary {
  readonly n: number;
  readonly p50: number;
  readonly p95: number;
  readonly max: number;
}

/** Samples by name. */
export class Metrics {
  readonly #samples = new Map<string, number[]>();

  /** Adds a sample, of which at most `MAX_SAMPLES` are kept. */
  record(name: string, value: number): void {
    const samples = this.#samples.get(name);
    if (samples === undefined) this.#samples.set(name, [value]);
    else if (samples.length < MAX_SAMPLES_PER_NAME) samples.push(value);
  }

  /** Summaries of what was recorded since the last call, rounded to two digits. */
  async drain(): Promise<Readonly<Record<string, SampleSummary>>> {
    if (this.#samples.size === 0) return {};
    const hdr = await import("hdr-histogram-js");
    const summaries: Record<string, SampleSummary> = {};
    for (const [name, samples] of this.#samples) {
      const histogram = hdr.build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });
      for (const sample of samples) histogram.recordValue(Math.max(0, Math.round(sample)));
      summaries[name] = {
        n: histogram.totalCount,
        p50: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        max: histogram.maxValue,
      };
      histogram.destroy();
    }
    this.#samples.clear();
    return summaries;
  }
}
