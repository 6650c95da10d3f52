/** Faults of machines and their connections: failures, hangs and one-way partitions. */
import type { FakeWorker } from "../fakes/worker.js";
import type { SimulationComponents } from "../parts.js";
import { LEASE_TTL_MS } from "../settings.js";

const MACHINE_FAILURE_COUNT = 8;
const DEAF_MACHINE_COUNT = 6;
const MUTED_MACHINE_COUNT = 6;
const MAX_PERMANENTLY_MUTED_MACHINES = 5;
const RECLAIMED_FRACTION = 0.55;
const RECLAMATION_PERIOD_MS = 10_000;
const HANGING_FRACTION = 0.33;

/** Random machines fail, or hang for 2 to 30 s. */
export const injectMachineFailures = ({ context, standIns }: SimulationComponents): void => {
  const { clock } = context;
  for (let i = 0; i < MACHINE_FAILURE_COUNT; i++)
    clock.after(clock.between(20_000, 110_000), () => {
      const worker = standIns.randomWorker();
      if (worker === undefined) return;
      if (clock.random() < 0.5) {
        worker.isHanging = true;
        clock.after(clock.between(2000, 30_000), () => {
          worker.isHanging = false;
        });
      } else worker.die();
    });
};

/** Random machines become deaf: their heartbeats arrive, but no message reaches them. */
export const injectDeafMachines = ({ context, standIns }: SimulationComponents): void => {
  const { clock } = context;
  for (let i = 0; i < DEAF_MACHINE_COUNT; i++)
    clock.after(clock.between(20_000, 80_000), () => {
      const worker = standIns.randomWorker();
      if (worker === undefined) return;
      worker.isDeaf = true;
      clock.after(clock.between(3000, 2 * LEASE_TTL_MS), () => {
        worker.isDeaf = false;
      });
    });
};

/** The cloud reclaims more than half of the machines within seconds. */
export const injectSpotReclamation = ({ context, standIns }: SimulationComponents): void => {
  const { clock } = context;
  clock.after(clock.between(40_000, 80_000), () => {
    for (const [id, worker] of [...standIns.workers])
      if (clock.random() < RECLAIMED_FRACTION)
        clock.after(clock.between(0, RECLAMATION_PERIOD_MS), () => {
          worker.die();
          standIns.workers.delete(id);
          standIns.cloud.removeMachine(id);
        });
  });
};

/** A third of the machines hang for longer than a lease and then recover. */
export const injectHangs = ({ context, standIns }: SimulationComponents): void => {
  const { clock } = context;
  const hang = (worker: FakeWorker): void => {
    worker.isHanging = true;
    clock.after(1.4 * LEASE_TTL_MS, () => {
      worker.isHanging = false;
    });
  };
  clock.after(clock.between(40_000, 70_000), () => {
    for (const worker of standIns.workers.values())
      if (clock.random() < HANGING_FRACTION) hang(worker);
  });
};

/** Random machines become muted: their heartbeats reach no controller, but calls reach them. */
export const injectMutedMachines = ({ context, standIns }: SimulationComponents): void => {
  const { clock, occurrences } = context;
  for (let i = 0; i < MUTED_MACHINE_COUNT; i++)
    clock.after(clock.between(20_000, 70_000), () => {
      const worker = standIns.randomWorker();
      if (worker === undefined) return;
      occurrences.muted++;
      worker.isMuted = true;
      clock.after(clock.between(5000, 2 * LEASE_TTL_MS), () => {
        worker.isMuted = false;
      });
    });
};

/** Some machines with tasks become muted for the rest of the day. */
export const injectPermanentlyMutedMachines = ({
  context,
  standIns,
}: SimulationComponents): void => {
  const { clock, occurrences } = context;
  clock.after(40_000, () => {
    for (const worker of standIns.workers.values())
      if (occurrences.muted < MAX_PERMANENTLY_MUTED_MACHINES && worker.tasks.size > 0) {
        worker.isMuted = true;
        occurrences.muted++;
      }
  });
};
