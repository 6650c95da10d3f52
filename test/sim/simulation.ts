/**
 * A simulation of a whole deployment: real controllers, stand-ins for all that they talk to, users
 * and faults, in simulated time, with a checker of the protocol's rules. Everything in it follows
 * from the seed.
 *
 *     const simulation = new Simulation(1, { ...NO_FAULTS, crashes: true });
 *     await simulation.day(25);
 *     assert.deepEqual(simulation.violations, []);
 *
 * This is the facade that tests use; it owns nothing but the parts that it puts together and the
 * spans that were written. The order of random draws, timers and awaits over all parts is what
 * makes a day the same each time: `npm run digest` notices a change of it.
 */
import { defaultPackages, type PackageSettings } from "../../src/config/packages.js";
import { SimulatedClock } from "./clock.js";
import { FAULTS_END_MS, SimulationContext } from "./context.js";
import { ControllerPorts } from "./controller-ports.js";
import { SimulatedControllers } from "./controllers.js";
import { scheduleDayJobs, scheduleTeamFlood } from "./day-jobs.js";
import type { Body } from "./fakes/message.js";
import { crashAfterElection } from "./fault-injection/controller-faults.js";
import { injectFaults } from "./fault-injection/fault-injection.js";
import type { DisabledSafeguard, FaultScenario, SimulationScale } from "./faults.js";
import { SimulatedNetwork } from "./network.js";
import type { Occurrences } from "./occurrences.js";
import { Partitions } from "./partitions.js";
import type { SimulationParts } from "./parts.js";
import { RunningTasks } from "./running-tasks.js";
import { SafetyChecker } from "./safety/safety-checker.js";
import { STATE_RPS } from "./settings.js";
import { StandIns } from "./stand-ins.js";
import type { UserJob } from "./user-job.js";
import { SimulatedUsers } from "./users.js";
import type { WireObserver } from "./wire.js";
import { workerHooksOf } from "./worker-hooks.js";

const SMALL: SimulationScale = { controllers: 3, machines: 14, quotaCpus: 24, maxTasks: 8 };
const DAY_MS = 260_000;
/** A day with a long outage goes on for so long, that its jobs may come to their end. */
const OUTAGE_DAY_MS = 330_000;
/** Crashes after elections stop so long before the calm. */
const ELECTION_CRASHES_END_MS = FAULTS_END_MS - 20_000;
const SPAN_PREFIX = "now/span/";

/** A span as it was written; null where it was deleted. */
export interface WrittenSpan {
  readonly team: string;
  readonly at: number;
  readonly value: unknown;
}

/** One simulated deployment and its day. */
export class Simulation {
  /** Simulated time, for tests that act at a time of their own. */
  readonly clock: SimulatedClock;
  /** Which packages are on: read at each boot, so that a test may switch between restarts. */
  packages: PackageSettings;
  /** Every span that was written, in order. */
  readonly spans: WrittenSpan[] = [];
  readonly #context: SimulationContext;
  readonly #network: SimulatedNetwork;
  readonly #parts: SimulationParts;

  constructor(
    seed: number,
    scenario: FaultScenario,
    scale: SimulationScale = SMALL,
    disabledSafeguard?: DisabledSafeguard,
  ) {
    const loadSpread = { ...defaultPackages().loadSpread, ...scenario.loadSpread };
    this.packages = { loadSpread: { ...loadSpread, enabled: scenario.loadSpread !== undefined } };
    this.clock = new SimulatedClock(seed);
    const labels = Array.from({ length: scale.controllers }, (_, index) => `n-${index}`);
    const context = new SimulationContext(this.clock, scenario, scale, disabledSafeguard, labels);
    this.#context = context;
    this.#network = new SimulatedNetwork(context);
    this.#parts = this.#connectParts();
    this.#parts.standIns.stateStore.onChange = (key) => this.#onStoreChange(key);
  }

  #connectParts(): SimulationParts {
    const context = this.#context;
    const standIns = new StandIns(
      context,
      workerHooksOf(() => this.#parts),
    );
    const partitions = new Partitions();
    const controllers = new SimulatedControllers({
      context,
      network: this.#network,
      partitions,
      ports: new ControllerPorts(context, partitions, standIns),
      standIns,
      packages: () => this.packages,
    });
    const jobs = new Map<string, UserJob>();
    const tasks = new RunningTasks();
    const checker = new SafetyChecker({ context, jobs, tasks, workers: standIns.workers });
    const surroundings = { context, controllers, checker, standIns, tasks, jobs };
    return { ...surroundings, partitions, users: new SimulatedUsers(surroundings) };
  }

  /** Broken rules, by the protocol's names, and errors that controllers logged. */
  get violations(): readonly string[] {
    return this.#context.violations;
  }

  /** How often each fault came about. */
  get occurrences(): Readonly<Occurrences> {
    return this.#context.occurrences;
  }

  /** Calls of the whole day by kind. */
  get calls(): Readonly<SimulationContext["calls"]> {
    return this.#context.calls;
  }

  /** Each start of a task, in order. */
  get starts(): readonly string[] {
    return this.#parts.tasks.starts;
  }

  /** All jobs that users submitted, as they know them, by their ids. */
  get jobs(): ReadonlyMap<string, UserJob> {
    return this.#parts.jobs;
  }

  /** The ids of jobs that came to no end, but for those that were submitted with a mistake. */
  get unfinishedJobs(): readonly string[] {
    return [...this.jobs.values()]
      .filter(({ id, finalState }) => finalState === null && !this.hasMistake(id))
      .map(({ id }) => id);
  }

  /** The periodic tasks that controllers run. */
  get taskNames(): ReadonlySet<string> {
    return this.#parts.controllers.taskNames;
  }

  /** Puts and deletes that the state store was asked for. */
  get writes(): number {
    return this.#parts.standIns.stateStore.writeCount;
  }

  /** Machines that never came up and are still paid for long after they should have. */
  get forgottenMachines(): readonly string[] {
    return this.#parts.standIns.unreturnedMachines;
  }

  /** Is told what crosses the wire; to be set before the day, which goes on as it does without. */
  set observer(observer: WireObserver | undefined) {
    this.#network.observer = observer;
  }

  /** Whether a job was submitted with a mistake, so that its tasks always fail. */
  hasMistake(jobId: string): boolean {
    return this.#context.hasMistake(jobId);
  }

  /** What the state store holds under a key, for tests that look or meddle. */
  stored(key: string): unknown {
    return this.#parts.standIns.stateStore.keys.get(key)?.v;
  }

  /** A foreign write to the state store. */
  async meddle(key: string, value: unknown): Promise<void> {
    const apply = [{ write: key, v: value }];
    await this.#parts.standIns.stateStore.handle("POST", "/txn", { if: [], apply });
  }

  /** The state store is out for so long. */
  outage(ms: number): void {
    this.#parts.standIns.stateStore.outage(ms);
  }

  /** The state store refuses one controller for so long. */
  refuse(controller: number, ms: number): void {
    const { refusedByStore } = this.#parts.partitions;
    refusedByStore.add(controller);
    this.clock.after(ms, () => refusedByStore.delete(controller));
  }

  /** A share of the machines vanishes at once. */
  spotWave(share: number): void {
    const { workers, cloud } = this.#parts.standIns;
    for (const worker of [...workers.values()])
      if (this.clock.random() < share) {
        worker.die();
        cloud.removeMachine(worker.rented.id);
      }
  }

  /** The controller that a stored record names, by its index; -1 if there is none. */
  ownerOf(key: string): number {
    return this.#parts.standIns.findOwnerIndex(key);
  }

  /** Ends a controller's process; a new one boots so much later. */
  crash(controller: number, backMs: number): void {
    this.#parts.controllers.crash(controller, backMs);
  }

  /** One user: submits until answered, polls until the end of the day, perhaps cancels. */
  user(id: string, spec: Body, cancelAfterMs: number | null): Promise<void> {
    return this.#parts.users.submitAndPoll(id, spec, cancelAfterMs);
  }

  /** Plays a day: jobs, faults, and then calm in which everything must come to its end. */
  async day(jobs: number): Promise<void> {
    const { controllers, users, checker, standIns } = this.#parts;
    const { scenario } = this.#context;
    if (!this.#context.isDisabled("no_service")) controllers.bootAll();
    scheduleDayJobs(this.#context, users, jobs);
    if (scenario.floodTeam === true) scheduleTeamFlood(this.#context, users, jobs + 1);
    if (scenario.questionFlood !== undefined) standIns.stateStore.maxRequestsPerSecond = STATE_RPS;
    checker.watchCancelledTasks();
    injectFaults(this.#parts);
    checker.watchWaitingJobs();
    const hasLongOutage = scenario.storeOutageAfterRefusal !== undefined;
    await this.clock.runUntil(hasLongOutage ? OUTAGE_DAY_MS : DAY_MS);
    checker.checkDayService();
  }

  #onStoreChange(key: string): void {
    const { now } = this.clock;
    if (key.startsWith(SPAN_PREFIX)) {
      const team = key.slice(SPAN_PREFIX.length);
      this.spans.push({ team, at: now, value: this.stored(key) ?? null });
    }
    if (this.#context.scenario.crashesAfterElections !== true || now > ELECTION_CRASHES_END_MS)
      return;
    if (key === "now/leader" || key.startsWith("now/share/")) crashAfterElection(this.#parts);
  }
}
