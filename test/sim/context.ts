/**
 * The context that all components of a simulation share: clock and random numbers, fault scenario,
 * cluster size, counters of what occurred, and recorded violations.
 *
 * Everything is determined by the clock's seed: components draw from it in the same order each time
 * a day is simulated, and nothing here may read real time.
 */
import type { SimulatedClock } from "./clock.js";
import type { DisabledSafeguard, FaultScenario, SimulationScale } from "./faults.js";
import { noOccurrences } from "./occurrences.js";

/** When injected faults end; from then on users' jobs must make progress. */
export const FAULTS_END_MS = 125_000;

/** Faults that hit a fraction of calls start after the start-up and end before the other faults. */
const CALL_FAULTS_START_MS = 15_000;
const CALL_FAULTS_END_MARGIN_MS = 20_000;
/** In scenarios where jobs have mistakes, one in this many jobs has one. */
const JOBS_PER_MISTAKE = 3;
const ID_PREFIX_LENGTH = "wk-".length;

/** The context of one simulation. */
export class SimulationContext {
  /** Violated rules and, in scenarios without lost messages, errors that controllers logged. */
  readonly violations: string[] = [];
  /** How often each fault or situation occurred; tests assert that those they cover did occur. */
  readonly occurrences = noOccurrences();
  /** Number of calls over the day by kind, so that tests can bound the work of the service. */
  readonly calls = { state: 0, workers: 0, heartbeats: 0 };

  constructor(
    readonly clock: SimulatedClock,
    readonly scenario: FaultScenario,
    readonly scale: SimulationScale,
    readonly disabledSafeguard: DisabledSafeguard | undefined,
    /** The controllers' labels by index. */
    readonly labels: readonly string[],
  ) {}

  /** Records a violation of a protocol rule, with the time at which it was detected. */
  recordViolation(rule: string, details: string): void {
    this.violations.push(`${rule} ${details} at ${Math.round(this.clock.now)}`);
  }

  /** Whether the test has disabled this safeguard. */
  isDisabled(safeguard: DisabledSafeguard): boolean {
    return this.disabledSafeguard === safeguard;
  }

  /** Returns the index of a random controller; takes one random draw. */
  randomController(): number {
    return Math.floor(this.clock.random() * this.labels.length);
  }

  /** Returns the label of a random controller; takes one random draw. */
  randomLabel(): string {
    return this.labels[this.randomController()] as string;
  }

  /** Decides whether a fault hits this call; takes a random draw only while such faults are on. */
  drawsFault(fraction: number): boolean {
    return (
      this.clock.now > CALL_FAULTS_START_MS &&
      this.clock.now < FAULTS_END_MS - CALL_FAULTS_END_MARGIN_MS &&
      this.clock.random() < fraction
    );
  }

  /** Whether a job was submitted with a mistake, so that each start of its tasks fails. */
  hasMistake(jobId: string): boolean {
    return (
      this.scenario.failures === "always" &&
      Number(jobId.slice(ID_PREFIX_LENGTH)) % JOBS_PER_MISTAKE === 0
    );
  }
}
