/** Faults of machines and their connections: they die, hang, or are reached in one direction only. */
import type { FakeWorker } from "../fakes/worker.js";
import type { SimulationParts } from "../parts.js";
import { LEASE_MS } from "../settings.js";

const DEATHS = 8;
const ONE_WAY_MACHINES = 6;
const MUTED_MACHINES = 6;
const MUTED_FOR_GOOD = 5;
const WAVE_SHARE = 0.55;
const WAVE_MS = 10_000;
const HANGING_SHARE = 0.33;

/** Random machines die, or hang for a while. */
export const injectDeaths = ({ context, standIns }: SimulationParts): void => {
  const { clock } = context;
  for (let i = 0; i < DEATHS; i++)
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

/** Random machines whose heartbeats arrive while nothing reaches them. */
export const injectOneWayMachines = ({ context, standIns }: SimulationParts): void => {
  const { clock } = context;
  for (let i = 0; i < ONE_WAY_MACHINES; i++)
    clock.after(clock.between(20_000, 80_000), () => {
      const worker = standIns.randomWorker();
      if (worker === undefined) return;
      worker.isDeaf = true;
      clock.after(clock.between(3000, 2 * LEASE_MS), () => {
        worker.isDeaf = false;
      });
    });
};

/** The cloud takes more than half of the machines within seconds. */
export const injectSpotWave = ({ context, standIns }: SimulationParts): void => {
  const { clock } = context;
  clock.after(clock.between(40_000, 80_000), () => {
    for (const [id, worker] of [...standIns.workers])
      if (clock.random() < WAVE_SHARE)
        clock.after(clock.between(0, WAVE_MS), () => {
          worker.die();
          standIns.workers.delete(id);
          standIns.cloud.removeMachine(id);
        });
  });
};

/** A third of the machines hangs for longer than a lease and goes on. */
export const injectHangs = ({ context, standIns }: SimulationParts): void => {
  const { clock } = context;
  const hang = (worker: FakeWorker): void => {
    worker.isHanging = true;
    clock.after(1.4 * LEASE_MS, () => {
      worker.isHanging = false;
    });
  };
  clock.after(clock.between(40_000, 70_000), () => {
    for (const worker of standIns.workers.values())
      if (clock.random() < HANGING_SHARE) hang(worker);
  });
};

/** Random machines whose heartbeats reach no controller, while calls reach them. */
export const injectMutedMachines = ({ context, standIns }: SimulationParts): void => {
  const { clock, occurrences } = context;
  for (let i = 0; i < MUTED_MACHINES; i++)
    clock.after(clock.between(20_000, 70_000), () => {
      const worker = standIns.randomWorker();
      if (worker === undefined) return;
      occurrences.muted++;
      worker.isMuted = true;
      clock.after(clock.between(5000, 2 * LEASE_MS), () => {
        worker.isMuted = false;
      });
    });
};

/** Busy machines whose heartbeats reach no controller from then on. */
export const injectLastingMutes = ({ context, standIns }: SimulationParts): void => {
  const { clock, occurrences } = context;
  clock.after(40_000, () => {
    for (const worker of standIns.workers.values())
      if (occurrences.muted < MUTED_FOR_GOOD && worker.tasks.size > 0) {
        worker.isMuted = true;
        occurrences.muted++;
      }
  });
};
