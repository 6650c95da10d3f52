/**
 * A simulation of a whole deployment in simulated time: real controllers, fakes of the systems that
 * they depend on, users, faults, and a checker of the protocol's rules. It is deterministic for a
 * given seed.
 *
 *     const simulation = new Simulation(1, { ...NO_FAULTS, crashes: true });
 *     await simulation.day(25);
 *     assert.deepEqual(simulation.violations, []);
 *
 * This is the facade that tests use; its own state is the components that it connects and the list
 * of written spans. A day is only reproducible if the order of random draws, timers and awaits in
 * all components stays the same: `npm run digest` detects a change.
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
import type { SimulationComponents } from "./parts.js";
import { RunningTasks } from "./running-tasks.js";
import { SafetyChecker } from "./safety/safety-checker.js";
import { STATE_STORE_REQUESTS_PER_SECOND } from "./settings.js";
import { StandIns } from "./stand-ins.js";
import type { UserJob } from "./user-job.js";
import { SimulatedUsers } from "./users.js";
import type { WireObserver } from "./wire.js";
import { workerHooksOf } from "./worker-hooks.js";

const DEFAULT_SCALE: SimulationScale = { controllers: 3, machines: 14, quotaCpus: 24, maxTasks: 8 };
const DAY_DURATION_MS = 260_000;
/** The duration of a day with a long outage, so that its jobs have time to finish. */
const LONG_OUTAGE_DAY_DURATION_MS = 330_000;
/** When crashes after elections stop, before the other faults end. */
const ELECTION_CRASHES_END_MS = FAULTS_END_MS - 20_000;
const SPAN_PREFIX = "now/span/";

/** A write of a team's span; `value` is null if the span was deleted. */
export interface WrittenSpan {
  readonly team: string;
  readonly at: number;
  readonly value: unknown;
}

/** One simulated deployment and its day. */
export class Simulation {
  /** The simulated clock, for tests that schedule their own actions. */
  readonly clock: SimulatedClock;
  /** The package settings; read at each boot, so that a test can change them between restarts. */
  packages: PackageSettings;
  /** All span writes, in order. */
  readonly spans: WrittenSpan[] = [];
  readonly #context: SimulationContext;
  readonly #network: SimulatedNetwork;
  readonly #components: SimulationComponents;

  constructor(
    seed: number,
    scenario: FaultScenario,
    scale: SimulationScale = DEFAULT_SCALE,
    disabledSafeguard?: DisabledSafeguard,
  ) {
    const loadSpread = { ...defaultPackages().loadSpread, ...scenario.loadSpread };
    this.packages = { loadSpread: { ...loadSpread, enabled: scenario.loadSpread !== undefined } };
    this.clock = new SimulatedClock(seed);
    const labels = Array.from({ length: scale.controllers }, (_, index) => `n-${index}`);
    const context = new SimulationContext(this.clock, scenario, scale, disabledSafeguard, labels);
    this.#context = context;
    this.#network = new SimulatedNetwork(context);
    this.#components = this.#connectComponents();
    this.#components.standIns.stateStore.onChange = (key) => this.#onStoreChange(key);
  }

  #connectComponents(): SimulationComponents {
    const context = this.#context;
    const standIns = new StandIns(
      context,
      workerHooksOf(() => this.#components),
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
    const dependencies = { context, controllers, checker, standIns, tasks, jobs };
    return { ...dependencies, partitions, users: new SimulatedUsers(dependencies) };
  }

  /** Violated rules, by name, and errors that controllers logged. */
  get violations(): readonly string[] {
    return this.#context.violations;
  }

  /** How often each fault or situation occurred. */
  get occurrences(): Readonly<Occurrences> {
    return this.#context.occurrences;
  }

  /** Number of calls over the day by kind. */
  get calls(): Readonly<SimulationContext["calls"]> {
    return this.#context.calls;
  }

  /** The tasks of all starts, in order. */
  get starts(): readonly string[] {
    return this.#components.tasks.starts;
  }

  /** All submitted jobs by id, from their users' point of view. */
  get jobs(): ReadonlyMap<string, UserJob> {
    return this.#components.jobs;
  }

  /** The ids of jobs without a final state, except those that were submitted with a mistake. */
  get unfinishedJobs(): readonly string[] {
    return [...this.jobs.values()]
      .filter(({ id, finalState }) => finalState === null && !this.hasMistake(id))
      .map(({ id }) => id);
  }

  /** The names of the periodic tasks that controllers run. */
  get taskNames(): ReadonlySet<string> {
    return this.#components.controllers.taskNames;
  }

  /** Number of puts and deletes requested from the state store. */
  get writes(): number {
    return this.#components.standIns.stateStore.writeCount;
  }

  /** Machines that never booted and are still rented long after they should have been returned. */
  get forgottenMachines(): readonly string[] {
    return this.#components.standIns.unreturnedMachines;
  }

  /** Observes all calls and replies; set it before the day. It doesn't affect the day. */
  set observer(observer: WireObserver | undefined) {
    this.#network.observer = observer;
  }

  /** Whether a job was submitted with a mistake, so that its tasks always fail. */
  hasMistake(jobId: string): boolean {
    return this.#context.hasMistake(jobId);
  }

  /** The value that the state store holds for a key. */
  stored(key: string): unknown {
    return this.#components.standIns.stateStore.keys.get(key)?.v;
  }

  /** Overwrites a record in the state store, as a foreign client would. */
  async overwriteRecord(key: string, value: unknown): Promise<void> {
    const apply = [{ write: key, v: value }];
    await this.#components.standIns.stateStore.handle("POST", "/txn", { if: [], apply });
  }

  /** Starts an outage of the state store. */
  outage(ms: number): void {
    this.#components.standIns.stateStore.startOutage(ms);
  }

  /** The state store refuses one controller's requests for `ms`. */
  refuse(controller: number, ms: number): void {
    const { refusedByStore } = this.#components.partitions;
    refusedByStore.add(controller);
    this.clock.after(ms, () => refusedByStore.delete(controller));
  }

  /** The cloud reclaims a fraction of the machines at once. */
  spotWave(fraction: number): void {
    const { workers, cloud } = this.#components.standIns;
    for (const worker of [...workers.values()])
      if (this.clock.random() < fraction) {
        worker.die();
        cloud.removeMachine(worker.rented.id);
      }
  }

  /** Returns the index of the controller that a stored record names; -1 if there is none. */
  ownerOf(key: string): number {
    return this.#components.standIns.findOwnerIndex(key);
  }

  /** Kills a controller's process and boots a new one after a delay. */
  crash(controller: number, restartDelayMs: number): void {
    this.#components.controllers.crash(controller, restartDelayMs);
  }

  /** One user: submits until accepted, polls until the end of the day, and may cancel the job. */
  user(id: string, spec: Body, cancelAfterMs: number | null): Promise<void> {
    return this.#components.users.submitAndPoll(id, spec, cancelAfterMs);
  }

  /** Simulates a day: jobs, faults, and then a period without faults in which jobs must finish. */
  async day(jobs: number): Promise<void> {
    const { controllers, users, checker, standIns } = this.#components;
    const { scenario } = this.#context;
    if (!this.#context.isDisabled("no_service")) controllers.bootAll();
    scheduleDayJobs(this.#context, users, jobs);
    if (scenario.floodTeam === true) scheduleTeamFlood(this.#context, users, jobs + 1);
    if (scenario.questionFlood !== undefined)
      standIns.stateStore.maxRequestsPerSecond = STATE_STORE_REQUESTS_PER_SECOND;
    checker.watchCancelledTasks();
    injectFaults(this.#components);
    checker.watchWaitingJobs();
    const hasLongOutage = scenario.storeOutageAfterRefusal !== undefined;
    await this.clock.runUntil(hasLongOutage ? LONG_OUTAGE_DAY_DURATION_MS : DAY_DURATION_MS);
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
    if (key === "now/leader" || key.startsWith("now/share/")) crashAfterElection(this.#components);
  }
}
