/**
 * The fakes of the systems that the service depends on: the state store, the cloud and the workers
 * of the rented machines, connected as in a deployment.
 *
 * Owns the workers of the machines that have booted. Safeguards of these systems are disabled here.
 */
import type { SimulationContext } from "./context.js";
import { FakeCloud, type RentedMachine } from "./fakes/cloud.js";
import type { Body } from "./fakes/message.js";
import { FakeStateStore } from "./fakes/state-store.js";
import { FakeWorker, type WorkerHooks } from "./fakes/worker.js";
import { LEASE_TTL_MS, MACHINE_TYPES } from "./settings.js";

/** A machine that hasn't booted this long after its rental should have been returned. */
const MAX_BOOT_WAIT_MS = 90_000;
const MIN_BOOT_MS = 1000;
const MAX_BOOT_MS = 20_000;
/** With `lateBoots`: the fraction of machines that boot in time. */
const BOOT_IN_TIME_FRACTION = 0.4;
/** With `lateBoots`: the fraction of the other machines that never boot. */
const BOOT_NEVER_FRACTION = 0.4;
const MIN_LATE_BOOT_MS = 60_000;
const MAX_LATE_BOOT_MS = 120_000;
const SLOW_IMAGE_FETCH_RANGE_MS: readonly [number, number] = [4000, 28_000];

/** The label of the controller in a record of the leader or of a shard's owner. */
const ownerLabel = (value: unknown): string => String((value as Body | undefined)?.l);

/** The fake systems of one simulation. */
export class StandIns {
  /** The state store, for injecting faults and reading its records. */
  readonly stateStore: FakeStateStore;
  /** The cloud, for injecting faults and reading the rented machines. */
  readonly cloud: FakeCloud;
  /** By machine id: the workers of machines that have booted and were not removed. */
  readonly workers = new Map<string, FakeWorker>();
  readonly #rentedAt = new Map<string, number>();

  constructor(
    private readonly context: SimulationContext,
    private readonly hooks: WorkerHooks,
  ) {
    this.stateStore = new FakeStateStore(context.clock);
    this.stateStore.checksConditions = !context.isDisabled("conditions");
    this.cloud = new FakeCloud(
      MACHINE_TYPES,
      context.scale.machines,
      (machine) => this.#boot(machine),
      (id) => {
        this.workers.get(id)?.die();
        this.workers.delete(id);
      },
    );
    this.cloud.carriesOutReturns = !context.isDisabled("cloud_returns");
  }

  /** Machines that never booted and are still rented long after they should have been returned. */
  get unreturnedMachines(): readonly string[] {
    const { now } = this.context.clock;
    return [...this.cloud.rentedMachines.keys()].filter(
      (id) => !this.workers.has(id) && now - (this.#rentedAt.get(id) ?? 0) > MAX_BOOT_WAIT_MS,
    );
  }

  /** Returns a random worker, or undefined if there is none; takes one random draw. */
  randomWorker(): FakeWorker | undefined {
    const all = [...this.workers.values()];
    return all[Math.floor(this.context.clock.random() * all.length)];
  }

  /** Returns the index of the controller that a stored record names; -1 if there is none. */
  findOwnerIndex(key: string): number {
    return this.context.labels.indexOf(ownerLabel(this.stateStore.keys.get(key)?.v));
  }

  /** Returns the index of the owner of a team's shard by the stored records; -1 if none. */
  findOwnerIndexOfTeam(team: string): number {
    const shards = this.stateStore.keys.get("now/teams")?.v as Body | undefined;
    return this.findOwnerIndex(`now/share/${shards?.[team]}`);
  }

  /** The cloud responds with errors to all requests for `ms`. */
  startCloudOutage(ms: number): void {
    this.cloud.isDown = true;
    this.context.clock.after(ms, () => {
      this.cloud.isDown = false;
    });
  }

  #boot(machine: RentedMachine): void {
    const { context } = this;
    context.clock.after(this.#bootMs(machine.id), () => {
      if (!this.cloud.rentedMachines.has(machine.id)) return;
      const { clock, labels, scenario } = context;
      const worker = new FakeWorker(clock, machine, labels, LEASE_TTL_MS, this.hooks);
      if (scenario.slowLinks === true) worker.imageFetchRangeMs = SLOW_IMAGE_FETCH_RANGE_MS;
      worker.checksTokens = !context.isDisabled("fencing_tokens");
      this.workers.set(machine.id, worker);
    });
  }

  /** Draws a machine's boot time; with `lateBoots`, some machines take minutes or never boot. */
  #bootMs(id: string): number {
    const { clock, scenario, occurrences } = this.context;
    this.#rentedAt.set(id, clock.now);
    if (scenario.lateBoots !== true || clock.random() < BOOT_IN_TIME_FRACTION)
      return clock.between(MIN_BOOT_MS, MAX_BOOT_MS);
    occurrences.lateBoots++;
    return clock.random() < BOOT_NEVER_FRACTION
      ? Number.POSITIVE_INFINITY
      : clock.between(MIN_LATE_BOOT_MS, MAX_LATE_BOOT_MS);
  }
}
