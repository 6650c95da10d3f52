/** Faults of controllers and of what they are connected to: crashes, pauses, outages and cuts. */
import type { SimulationParts } from "../parts.js";
import { LEASE_MS } from "../settings.js";

const CRASHES = 6;
const LEADER_CRASHES = 10;
const LEADER_CRASH_EVERY_MS = 10_500;
const CUT_MS = 45_000;
const PEERS_REFUSE_MS = 40_000;
const CLOUD_OUTAGE_MS = 20_000;
const MIN_PAUSE_MS = 6000;
const MAX_PAUSE_MS = 1.6 * LEASE_MS;
const PAUSES_FROM_MS: readonly number[] = [20_000, 45_000, 75_000];
const PAUSE_SPREAD_MS = 10_000;

/** Controllers crash now and then, some of them to be back at once. */
export const injectCrashes = ({ context, controllers }: SimulationParts): void => {
  const { clock } = context;
  for (let i = 0; i < CRASHES; i++) {
    const backMs = clock.random() < 0.4 ? 200 : 6000;
    const index = context.randomController();
    clock.after(clock.between(10_000, 110_000), () => controllers.crash(index, backMs));
  }
};

/** The state store is out twice, for less and for more than a lease, and the cloud once. */
export const injectOutages = ({ context, standIns }: SimulationParts): void => {
  const { clock } = context;
  clock.after(clock.between(15_000, 50_000), () => standIns.stateStore.outage(8000));
  clock.after(clock.between(60_000, 90_000), () => standIns.stateStore.outage(25_000));
  clock.after(clock.between(20_000, 70_000), () => standIns.cloudOutage(CLOUD_OUTAGE_MS));
};

/** A random controller is among the cut ones for a while. */
const injectCut = ({ context }: SimulationParts, cut: Set<number>): void => {
  const { clock } = context;
  clock.after(clock.between(25_000, 60_000), () => {
    const index = context.randomController();
    cut.add(index);
    clock.after(CUT_MS, () => cut.delete(index));
  });
};

/** One controller loses the state store and the others, but not its workers. */
export const injectControllerCut = (parts: SimulationParts): void =>
  injectCut(parts, parts.partitions.cutControllers);

/** The state store refuses one controller. */
export const injectRefusal = (parts: SimulationParts): void =>
  injectCut(parts, parts.partitions.refusedByStore);

/** One controller reaches no worker, nor does any reach it. */
export const injectWorkerCut = (parts: SimulationParts): void =>
  injectCut(parts, parts.partitions.withoutWorkers);

/** Controllers refuse one another's connections for a while. */
export const injectPeerRefusal = ({ context, partitions }: SimulationParts): void => {
  const { clock } = context;
  clock.after(clock.between(20_000, 60_000), () => {
    partitions.peersRefuse = true;
    clock.after(PEERS_REFUSE_MS, () => {
      partitions.peersRefuse = false;
    });
  });
};

/** Process pauses, shorter and longer than a lease, of one controller or two at a time. */
export const injectProcessPauses = ({ context, controllers }: SimulationParts): void => {
  const { clock } = context;
  const pauseOne = (): void =>
    controllers.pause(context.randomController(), clock.between(MIN_PAUSE_MS, MAX_PAUSE_MS));
  for (const fromMs of PAUSES_FROM_MS)
    clock.after(clock.between(fromMs, fromMs + PAUSE_SPREAD_MS), () => {
      pauseOne();
      if (clock.random() < 0.5) pauseOne();
    });
};

/** All controllers are cut off together for longer than two leases. */
export const injectCutOfAll = ({ context, partitions }: SimulationParts): void => {
  const { clock } = context;
  clock.after(clock.between(30_000, 60_000), () => {
    partitions.allControllersCut = true;
    clock.after(2.2 * LEASE_MS, () => {
      partitions.allControllersCut = false;
    });
  });
};

/** All controllers crash, during an outage of the state store and once without one. */
export const injectRestarts = ({ context, controllers, standIns }: SimulationParts): void => {
  const { clock, labels } = context;
  const restarts = [
    { fromMs: 30_000, inOutage: true },
    { fromMs: 80_000, inOutage: false },
  ];
  for (const { fromMs, inOutage } of restarts)
    clock.after(clock.between(fromMs, fromMs + 10_000), () => {
      if (inOutage) standIns.stateStore.outage(6000);
      for (let index = 0; index < labels.length; index++)
        clock.after(clock.between(0, inOutage ? 8000 : 300), () =>
          controllers.crash(index, clock.between(200, 4000)),
        );
    });
};

/** Whoever leads crashes again and again and is back within a second, in an outage too. */
export const injectLeaderCrashes = ({ context, controllers, standIns }: SimulationParts): void => {
  const { clock, occurrences } = context;
  for (let i = 0; i < LEADER_CRASHES; i++)
    clock.after(15_000 + i * LEADER_CRASH_EVERY_MS, () => {
      const leader = standIns.ownerOf("now/leader");
      if (leader < 0) return;
      occurrences.leaderCrashes++;
      controllers.crash(leader, clock.between(100, 900));
    });
  clock.after(60_000, () => standIns.stateStore.outage(24_000));
};

/** All controllers are away for longer than a lease. */
export const injectAbsenceOfAll = ({ context, controllers }: SimulationParts): void => {
  const { clock, labels, occurrences } = context;
  clock.after(50_000, () => {
    occurrences.allControllersAway++;
    for (let index = 0; index < labels.length; index++)
      controllers.crash(index, 1.4 * LEASE_MS + index * 300);
  });
};

/** A zone's workers and one controller are cut from the rest for longer than a lease. */
export const injectZoneCut = ({ context, partitions }: SimulationParts): void => {
  const { clock, occurrences } = context;
  clock.after(45_000, () => {
    occurrences.zoneCuts++;
    partitions.zoneCut = true;
    clock.after(1.8 * LEASE_MS, () => {
      partitions.zoneCut = false;
    });
  });
};

/** A controller crashes within a fraction of a second of an election, to be back at once. */
export const crashAfterElection = ({ context, controllers }: SimulationParts): void => {
  const { clock } = context;
  if (clock.random() > 0.25) return;
  const index = context.randomController();
  clock.after(clock.between(0, 300), () => controllers.crash(index, clock.between(50, 600)));
};
