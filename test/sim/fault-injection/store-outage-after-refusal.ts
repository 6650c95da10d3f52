/**
 * The state store refuses only the leader while the other controllers confirm cancellations to
 * users; then it has an outage for all controllers that is longer than `cancel_s`. The variants add
 * further faults.
 */
import type { StoreOutageAfterRefusal } from "../faults.js";
import type { SimulationComponents } from "../parts.js";
import type { UserJob } from "../user-job.js";

const REFUSAL_START_MS = 45_000;
/** Delay from the start of the refusal to that of the outage, which the refusal overlaps. */
const OUTAGE_DELAY_MS = 1500;
const REFUSAL_DURATION_MS = 14_000;
const OUTAGE_DURATION_MS = 58_000;
const CLOUD_OUTAGE_DURATION_MS = 20_000;
const MACHINE_FAULT_DURATION_MS = 70_000;
const MAX_FAULTY_MACHINES = 8;
/** The other running jobs are not cancelled and must not be affected. */
const CANCELLED_FRACTION = 0.7;
const MIN_CANCEL_DELAY_MS = 100;
const MAX_CANCEL_DELAY_MS = 900;
const CONFIRMER_RESTART_DELAY_MS = 5000;
const OLD_LEADER_CRASH_DELAY_MS = 8000;
const OLD_LEADER_RESTART_DELAY_MS = 500;

/** The refused leader and the controllers that confirm cancellations meanwhile, as indexes. */
interface Refusal {
  readonly variant: StoreOutageAfterRefusal;
  readonly oldLeader: number;
  readonly confirmers: readonly number[];
}

const refuseLeader = ({ context, partitions }: SimulationComponents, refusal: Refusal): void => {
  const { clock } = context;
  const { oldLeader } = refusal;
  partitions.refusedByStore.add(oldLeader);
  clock.after(REFUSAL_DURATION_MS, () => partitions.refusedByStore.delete(oldLeader));
  if (refusal.variant.peersCut !== true) return;
  partitions.withoutPeers.add(oldLeader);
  clock.after(REFUSAL_DURATION_MS, () => partitions.withoutPeers.delete(oldLeader));
};

/** Schedules the cancellation of most running jobs and returns these jobs. */
const scheduleCancellations = (
  components: SimulationComponents,
  refusal: Refusal,
): readonly UserJob[] => {
  const { clock } = components.context;
  const { oldLeader, confirmers, variant } = refusal;
  const running = [...components.jobs.values()].filter(
    (job) => components.tasks.isRunning(job.id) && job.accepted,
  );
  const chosen = running.slice(0, Math.ceil(running.length * CANCELLED_FRACTION));
  for (const job of chosen)
    clock.after(clock.between(MIN_CANCEL_DELAY_MS, MAX_CANCEL_DELAY_MS), () => {
      const confirmerIndex = confirmers[Math.floor(clock.random() * confirmers.length)] ?? 0;
      const confirmedBy = variant.confirmedBy ?? "cancel";
      void components.users.cancelDuringRefusal(job, {
        confirmerIndex,
        refusedIndex: oldLeader,
        confirmedBy,
      });
    });
  return chosen;
};

/** Makes some machines with tasks of these jobs hang, deaf or muted for longer than `cancel_s`. */
const injectMachineFault = (
  { context, tasks }: SimulationComponents,
  jobs: readonly UserJob[],
  fault: NonNullable<StoreOutageAfterRefusal["machineFault"]>,
): void => {
  const ids = new Set(jobs.map((job) => job.id));
  for (const worker of tasks.machinesRunning(ids, MAX_FAULTY_MACHINES)) {
    context.occurrences.faultyMachines++;
    if (fault === "hang") worker.isHanging = true;
    if (fault === "deaf") worker.isDeaf = true;
    if (fault === "mute") worker.isMuted = true;
    context.clock.after(MACHINE_FAULT_DURATION_MS, () => {
      worker.isHanging = false;
      worker.isDeaf = false;
      worker.isMuted = false;
    });
  }
};

const beginOutage = (components: SimulationComponents, refusal: Refusal): void => {
  const { context, controllers, standIns } = components;
  const { variant, oldLeader, confirmers } = refusal;
  standIns.stateStore.startOutage(OUTAGE_DURATION_MS);
  if (variant.confirmersCrash === true)
    for (const index of confirmers) controllers.crash(index, CONFIRMER_RESTART_DELAY_MS);
  if (variant.oldLeaderCrashes === true)
    context.clock.after(OLD_LEADER_CRASH_DELAY_MS, () =>
      controllers.crash(oldLeader, OLD_LEADER_RESTART_DELAY_MS),
    );
  if (variant.cloudOutage === true) standIns.startCloudOutage(CLOUD_OUTAGE_DURATION_MS);
};

/** Schedules the refusal, the cancellations and the outage. */
export const injectStoreOutageAfterRefusal = (
  components: SimulationComponents,
  variant: StoreOutageAfterRefusal,
): void => {
  const { context, standIns } = components;
  context.clock.after(REFUSAL_START_MS, () => {
    const oldLeader = standIns.findOwnerIndex("now/leader");
    const confirmers = context.labels
      .map((_, index) => index)
      .filter((index) => index !== oldLeader);
    const refusal: Refusal = { variant, oldLeader, confirmers };
    refuseLeader(components, refusal);
    const cancelled = scheduleCancellations(components, refusal);
    if (variant.machineFault !== undefined)
      injectMachineFault(components, cancelled, variant.machineFault);
    context.clock.after(OUTAGE_DELAY_MS, () => beginOutage(components, refusal));
  });
};
