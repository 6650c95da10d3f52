/**
 * Samples of durations, collected between two `stats` log events.
 *
 * Holds the samples since the last `drain`. Recording only appends to an array; percentiles are
 * computed for the log event. The histogram library is loaded on first use, since loading it would
 * prolong a controller's start by a third of a second.
 */

/** Samples kept per name between two log events; more would hardly change the percentiles. */
const MAX_SAMPLES_PER_NAME = 4096;
const SIGNIFICANT_DIGITS = 2;

/** Count, percentiles and maximum of the samples of one name, in the unit of the samples. */
export interface SampleSummary {
  readonly n: number;
  readonly p50: number;
  readonly p95: number;
  readonly max: number;
}

/** Collects samples by name. */
export class Metrics {
  readonly #samples = new Map<string, number[]>();

  /** Adds a sample; discards it if the name has `MAX_SAMPLES_PER_NAME` samples already. */
  record(name: string, value: number): void {
    const samples = this.#samples.get(name);
    if (samples === undefined) this.#samples.set(name, [value]);
    else if (samples.length < MAX_SAMPLES_PER_NAME) samples.push(value);
  }

  /** Summaries of the samples since the last call, rounded to two significant digits. */
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
