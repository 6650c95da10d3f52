/**
 * What all parts of a simulation share: time and chance, the scenario of faults, the size of the
 * cluster, and the record of what came about and which rules were broken.
 *
 * Everything follows from the clock's seed: a part draws from it in the same order on each play of
 * a day, and nothing here may read real time.
 */
import type { SimulatedClock } from "./clock.js";
import type { DisabledSafeguard, FaultScenario, SimulationScale } from "./faults.js";
import { noOccurrences } from "./occurrences.js";

/** When the faults end; what a user may expect of the service is judged from then on. */
export const FAULTS_END_MS = 125_000;

/** Faults of a share of calls begin after the start-up and end this long before the calm. */
const FIRST_STRIKE_MS = 15_000;
const CALM_MARGIN_MS = 20_000;
/** On days on which jobs have mistakes, each third one has. */
const MISTAKE_EVERY = 3;
const ID_PREFIX_LENGTH = "wk-".length;

/** Shared by the parts of one simulation. */
export class SimulationContext {
  /** Broken rules and, on days without lost messages, error lines of controllers' logs. */
  readonly violations: string[] = [];
  /** How often each fault came about: a test asserts that those it is for did. */
  readonly occurrences = noOccurrences();
  /** Calls of the whole day by kind, for bounding work by counts. */
  readonly calls = { state: 0, workers: 0, heartbeats: 0 };

  constructor(
    readonly clock: SimulatedClock,
    readonly scenario: FaultScenario,
    readonly scale: SimulationScale,
    readonly disabledSafeguard: DisabledSafeguard | undefined,
    /** The controllers' labels, by their indexes. */
    readonly labels: readonly string[],
  ) {}

  /** Records that a rule of the protocol was broken, with the time at which it was seen. */
  recordViolation(rule: string, details: string): void {
    this.violations.push(`${rule} ${details} at ${Math.round(this.clock.now)}`);
  }

  /** Whether this safeguard is switched off. */
  isDisabled(safeguard: DisabledSafeguard): boolean {
    return this.disabledSafeguard === safeguard;
  }

  /** The index of a controller; one draw. */
  randomController(): number {
    return Math.floor(this.clock.random() * this.labels.length);
  }

  /** The label of a controller; one draw. */
  randomLabel(): string {
    return this.labels[this.randomController()] as string;
  }

  /** Whether a fault of this share strikes now; draws only while faults may strike. */
  strikes(share: number): boolean {
    return (
      this.clock.now > FIRST_STRIKE_MS &&
      this.clock.now < FAULTS_END_MS - CALM_MARGIN_MS &&
      this.clock.random() < share
    );
  }

  /** Whether a job was submitted with a mistake, so that its tasks fail whenever they start. */
  hasMistake(jobId: string): boolean {
    return (
      this.scenario.failures === "always" &&
      Number(jobId.slice(ID_PREFIX_LENGTH)) % MISTAKE_EVERY === 0
    );
  }
}
