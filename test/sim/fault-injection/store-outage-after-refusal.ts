/**
 * The state store refuses the leader alone, users get cancellations confirmed by the others, and
 * then it is out for all, for longer than `cancel_s`: with what else the variants bring.
 */
import type { StoreOutageAfterRefusal } from "../faults.js";
import type { SimulationParts } from "../parts.js";
import type { UserJob } from "../user-job.js";

const REFUSAL_BEGINS_MS = 45_000;
/** The refusal alone lasts so long; it would go on during the outage. */
const OUTAGE_AFTER_MS = 1500;
const REFUSAL_MS = 14_000;
const OUTAGE_MS = 58_000;
const CLOUD_OUTAGE_MS = 20_000;
const MACHINE_FAULT_MS = 70_000;
const MAX_FAULTY_MACHINES = 8;
/** A few jobs are left alone: their work must not suffer. */
const CANCELLED_SHARE = 0.7;
const MIN_CANCEL_AFTER_MS = 100;
const MAX_CANCEL_AFTER_MS = 900;
const CONFIRMERS_BACK_MS = 5000;
const OLD_LEADER_CRASHES_AFTER_MS = 8000;
const OLD_LEADER_BACK_MS = 500;

/** The refused leader and the controllers that confirm cancellations meanwhile, by index. */
interface Refusal {
  readonly variant: StoreOutageAfterRefusal;
  readonly oldLeader: number;
  readonly confirmers: readonly number[];
}

const refuse = ({ context, partitions }: SimulationParts, refusal: Refusal): void => {
  const { clock } = context;
  const { oldLeader } = refusal;
  partitions.refusedByStore.add(oldLeader);
  clock.after(REFUSAL_MS, () => partitions.refusedByStore.delete(oldLeader));
  if (refusal.variant.peersCut !== true) return;
  partitions.withoutPeers.add(oldLeader);
  clock.after(REFUSAL_MS, () => partitions.withoutPeers.delete(oldLeader));
};

/** Schedules the cancellation of most running jobs; returns these jobs. */
const cancelMost = (parts: SimulationParts, refusal: Refusal): readonly UserJob[] => {
  const { clock } = parts.context;
  const { oldLeader, confirmers, variant } = refusal;
  const running = [...parts.jobs.values()].filter(
    (job) => parts.tasks.isRunning(job.id) && job.accepted,
  );
  const chosen = running.slice(0, Math.ceil(running.length * CANCELLED_SHARE));
  for (const job of chosen)
    clock.after(clock.between(MIN_CANCEL_AFTER_MS, MAX_CANCEL_AFTER_MS), () => {
      const asked = confirmers[Math.floor(clock.random() * confirmers.length)] ?? 0;
      const by = variant.confirmedBy ?? "cancel";
      void parts.users.cancelDuringRefusal(job, { asked, refused: oldLeader, by });
    });
  return chosen;
};

/** Some machines with tasks of these jobs hang or are cut off for longer than `cancel_s`. */
const disturbMachines = (
  { context, tasks }: SimulationParts,
  jobs: readonly UserJob[],
  fault: NonNullable<StoreOutageAfterRefusal["machineFault"]>,
): void => {
  const ids = new Set(jobs.map((job) => job.id));
  for (const worker of tasks.machinesRunning(ids, MAX_FAULTY_MACHINES)) {
    context.occurrences.faultyMachines++;
    if (fault === "hang") worker.isHanging = true;
    if (fault === "deaf") worker.isDeaf = true;
    if (fault === "mute") worker.isMuted = true;
    context.clock.after(MACHINE_FAULT_MS, () => {
      worker.isHanging = false;
      worker.isDeaf = false;
      worker.isMuted = false;
    });
  }
};

const beginOutage = (parts: SimulationParts, refusal: Refusal): void => {
  const { context, controllers, standIns } = parts;
  const { variant, oldLeader, confirmers } = refusal;
  standIns.stateStore.outage(OUTAGE_MS);
  if (variant.confirmersCrash === true)
    for (const index of confirmers) controllers.crash(index, CONFIRMERS_BACK_MS);
  if (variant.oldLeaderCrashes === true)
    context.clock.after(OLD_LEADER_CRASHES_AFTER_MS, () =>
      controllers.crash(oldLeader, OLD_LEADER_BACK_MS),
    );
  if (variant.cloudOutage === true) standIns.cloudOutage(CLOUD_OUTAGE_MS);
};

/** Schedules the refusal, the cancellations and the outage. */
export const injectStoreOutageAfterRefusal = (
  parts: SimulationParts,
  variant: StoreOutageAfterRefusal,
): void => {
  const { context, standIns } = parts;
  context.clock.after(REFUSAL_BEGINS_MS, () => {
    const oldLeader = standIns.ownerOf("now/leader");
    const confirmers = context.labels
      .map((_, index) => index)
      .filter((index) => index !== oldLeader);
    const refusal: Refusal = { variant, oldLeader, confirmers };
    refuse(parts, refusal);
    const cancelled = cancelMost(parts, refusal);
    if (variant.machineFault !== undefined) disturbMachines(parts, cancelled, variant.machineFault);
    context.clock.after(OUTAGE_AFTER_MS, () => beginOutage(parts, refusal));
  });
};
