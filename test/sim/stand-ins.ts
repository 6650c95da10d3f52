/**
 * The stand-ins for what the service runs against: the state store, the cloud and the workers of
 * the machines that it rents, wired together as a deployment's are.
 *
 * Owns which machines are up. Safeguards of the outside systems are switched off here.
 */
import type { SimulationContext } from "./context.js";
import { FakeCloud, type RentedMachine } from "./fakes/cloud.js";
import type { Body } from "./fakes/message.js";
import { FakeStateStore } from "./fakes/state-store.js";
import { FakeWorker, type WorkerHooks } from "./fakes/worker.js";
import { LEASE_MS, MACHINE_TYPES } from "./settings.js";

/** A machine that has not come up by then should have been returned. */
const GIVEN_UP_MS = 90_000;
const MIN_BOOT_MS = 1000;
const MAX_BOOT_MS = 20_000;
/** On days of late boots so many are in time, and so many of the others never come up. */
const BOOT_IN_TIME_SHARE = 0.4;
const BOOT_NEVER_SHARE = 0.4;
const MIN_LATE_BOOT_MS = 60_000;
const MAX_LATE_BOOT_MS = 120_000;
const SLOW_FETCH_MS: readonly [number, number] = [4000, 28_000];

/** The label of the controller that a record of an owner or of the leader names. */
const ownerLabel = (value: unknown): string => String((value as Body | undefined)?.l);

/** The outside systems of one simulation. */
export class StandIns {
  /** The state store, for faults and for looking into its records. */
  readonly stateStore: FakeStateStore;
  /** The cloud, for faults and for what it rented. */
  readonly cloud: FakeCloud;
  /** Workers of machines that came up and were not returned, by machine. */
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

  /** Machines that never came up and are still paid for long after they should have. */
  get unreturnedMachines(): readonly string[] {
    const { now } = this.context.clock;
    return [...this.cloud.rentedMachines.keys()].filter(
      (id) => !this.workers.has(id) && now - (this.#rentedAt.get(id) ?? 0) > GIVEN_UP_MS,
    );
  }

  /** A worker, or undefined if there is none; one draw. */
  randomWorker(): FakeWorker | undefined {
    const all = [...this.workers.values()];
    return all[Math.floor(this.context.clock.random() * all.length)];
  }

  /** The index of the controller that a stored record names; -1 if there is none. */
  findOwnerIndex(key: string): number {
    return this.context.labels.indexOf(ownerLabel(this.stateStore.keys.get(key)?.v));
  }

  /** The index of the controller that the records name as a team's owner; -1 if there is none. */
  findOwnerIndexOfTeam(team: string): number {
    const shards = this.stateStore.keys.get("now/teams")?.v as Body | undefined;
    return this.findOwnerIndex(`now/share/${shards?.[team]}`);
  }

  /** The cloud answers nothing but errors for so long. */
  cloudOutage(ms: number): void {
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
      const worker = new FakeWorker(clock, machine, labels, LEASE_MS, this.hooks);
      if (scenario.slowLinks === true) worker.imageFetchRangeMs = SLOW_FETCH_MS;
      worker.checksTokens = !context.isDisabled("fencing_tokens");
      this.workers.set(machine.id, worker);
    });
  }

  /** How long a machine takes to come up; some take minutes on days of late boots, or for ever. */
  #bootMs(id: string): number {
    const { clock, scenario, occurrences } = this.context;
    this.#rentedAt.set(id, clock.now);
    if (scenario.lateBoots !== true || clock.random() < BOOT_IN_TIME_SHARE)
      return clock.between(MIN_BOOT_MS, MAX_BOOT_MS);
    occurrences.lateBoots++;
    return clock.random() < BOOT_NEVER_SHARE
      ? Number.POSITIVE_INFINITY
      : clock.between(MIN_LATE_BOOT_MS, MAX_LATE_BOOT_MS);
  }
}
