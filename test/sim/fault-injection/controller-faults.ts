/** Faults of controllers and their connections: crashes, process pauses, outages and partitions. */
import type { SimulationComponents } from "../parts.js";
import { LEASE_TTL_MS } from "../settings.js";

const CRASH_COUNT = 6;
const LEADER_CRASH_COUNT = 10;
const LEADER_CRASH_INTERVAL_MS = 10_500;
const CUT_DURATION_MS = 45_000;
const PEER_REFUSAL_DURATION_MS = 40_000;
const CLOUD_OUTAGE_DURATION_MS = 20_000;
const MIN_PAUSE_MS = 6000;
const MAX_PAUSE_MS = 1.6 * LEASE_TTL_MS;
const EARLIEST_PAUSES_MS: readonly number[] = [20_000, 45_000, 75_000];
const PAUSE_START_RANGE_MS = 10_000;

/** Random controllers crash; some restart after 200 ms, the others after 6 s. */
export const injectCrashes = ({ context, controllers }: SimulationComponents): void => {
  const { clock } = context;
  for (let i = 0; i < CRASH_COUNT; i++) {
    const restartDelayMs = clock.random() < 0.4 ? 200 : 6000;
    const index = context.randomController();
    clock.after(clock.between(10_000, 110_000), () => controllers.crash(index, restartDelayMs));
  }
};

/** Two outages of the state store, shorter and longer than a lease, and one of the cloud. */
export const injectOutages = ({ context, standIns }: SimulationComponents): void => {
  const { clock } = context;
  clock.after(clock.between(15_000, 50_000), () => standIns.stateStore.startOutage(8000));
  clock.after(clock.between(60_000, 90_000), () => standIns.stateStore.startOutage(25_000));
  clock.after(clock.between(20_000, 70_000), () =>
    standIns.startCloudOutage(CLOUD_OUTAGE_DURATION_MS),
  );
};

/** Adds a random controller to a set of partitioned controllers for `CUT_DURATION_MS`. */
const injectCutIn = ({ context }: SimulationComponents, partitioned: Set<number>): void => {
  const { clock } = context;
  clock.after(clock.between(25_000, 60_000), () => {
    const index = context.randomController();
    partitioned.add(index);
    clock.after(CUT_DURATION_MS, () => partitioned.delete(index));
  });
};

/** One controller is cut off from the state store and its peers, but not from its workers. */
export const injectControllerCut = (components: SimulationComponents): void =>
  injectCutIn(components, components.partitions.controllersWithoutStoreOrPeers);

/** The state store refuses the requests of one controller. */
export const injectStoreRefusal = (components: SimulationComponents): void =>
  injectCutIn(components, components.partitions.refusedByStore);

/** One controller and all workers are cut off from each other. */
export const injectWorkerCut = (components: SimulationComponents): void =>
  injectCutIn(components, components.partitions.withoutWorkers);

/** All controllers refuse connections from each other for `PEER_REFUSAL_DURATION_MS`. */
export const injectPeerRefusal = ({ context, partitions }: SimulationComponents): void => {
  const { clock } = context;
  clock.after(clock.between(20_000, 60_000), () => {
    partitions.peersRefuseConnections = true;
    clock.after(PEER_REFUSAL_DURATION_MS, () => {
      partitions.peersRefuseConnections = false;
    });
  });
};

/** Pauses the processes of one or two controllers at a time, for less or more than a lease. */
export const injectProcessPauses = ({ context, controllers }: SimulationComponents): void => {
  const { clock } = context;
  const pauseOne = (): void =>
    controllers.pause(context.randomController(), clock.between(MIN_PAUSE_MS, MAX_PAUSE_MS));
  for (const fromMs of EARLIEST_PAUSES_MS)
    clock.after(clock.between(fromMs, fromMs + PAUSE_START_RANGE_MS), () => {
      pauseOne();
      if (clock.random() < 0.5) pauseOne();
    });
};

/** All controllers are cut off together, for longer than two leases. */
export const injectCutOfAllControllers = ({ context, partitions }: SimulationComponents): void => {
  const { clock } = context;
  clock.after(clock.between(30_000, 60_000), () => {
    partitions.areAllControllersCut = true;
    clock.after(2.2 * LEASE_TTL_MS, () => {
      partitions.areAllControllersCut = false;
    });
  });
};

/** All controllers crash and restart twice: during an outage of the state store and without one. */
export const injectRestartsOfAllControllers = ({
  context,
  controllers,
  standIns,
}: SimulationComponents): void => {
  const { clock, labels } = context;
  const restarts = [
    { fromMs: 30_000, inOutage: true },
    { fromMs: 80_000, inOutage: false },
  ];
  for (const { fromMs, inOutage } of restarts)
    clock.after(clock.between(fromMs, fromMs + 10_000), () => {
      if (inOutage) standIns.stateStore.startOutage(6000);
      for (let index = 0; index < labels.length; index++)
        clock.after(clock.between(0, inOutage ? 8000 : 300), () =>
          controllers.crash(index, clock.between(200, 4000)),
        );
    });
};

/** The current leader crashes repeatedly and restarts within a second, also during an outage. */
export const injectLeaderCrashes = ({
  context,
  controllers,
  standIns,
}: SimulationComponents): void => {
  const { clock, occurrences } = context;
  for (let i = 0; i < LEADER_CRASH_COUNT; i++)
    clock.after(15_000 + i * LEADER_CRASH_INTERVAL_MS, () => {
      const leader = standIns.findOwnerIndex("now/leader");
      if (leader < 0) return;
      occurrences.leaderCrashes++;
      controllers.crash(leader, clock.between(100, 900));
    });
  clock.after(60_000, () => standIns.stateStore.startOutage(24_000));
};

/** All controllers are down for longer than a lease. */
export const injectDowntimeOfAllControllers = ({
  context,
  controllers,
}: SimulationComponents): void => {
  const { clock, labels, occurrences } = context;
  clock.after(50_000, () => {
    occurrences.allControllersAway++;
    for (let index = 0; index < labels.length; index++)
      controllers.crash(index, 1.4 * LEASE_TTL_MS + index * 300);
  });
};

/** A zone's workers and one controller are cut off from the rest for longer than a lease. */
export const injectZoneCut = ({ context, partitions }: SimulationComponents): void => {
  const { clock, occurrences } = context;
  clock.after(45_000, () => {
    occurrences.zoneCuts++;
    partitions.isZoneCut = true;
    clock.after(1.8 * LEASE_TTL_MS, () => {
      partitions.isZoneCut = false;
    });
  });
};

/**
 * After a quarter of the elections, a random controller crashes within 300 ms and restarts within
 * 600 ms.
 */
export const crashAfterElection = ({ context, controllers }: SimulationComponents): void => {
  const { clock } = context;
  if (clock.random() > 0.25) return;
  const index = context.randomController();
  clock.after(clock.between(0, 300), () => controllers.crash(index, clock.between(50, 600)));
};
