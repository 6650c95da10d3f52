/**
 * Schedules the faults of a scenario, with one function for each kind of fault.
 *
 * The order of the table is the order of the random draws before a day begins: moving a fault in it
 * changes the day that follows from a seed.
 */
import type { FaultScenario } from "../faults.js";
import type { SimulationComponents } from "../parts.js";
import {
  injectControllerCut,
  injectCrashes,
  injectCutOfAllControllers,
  injectDowntimeOfAllControllers,
  injectLeaderCrashes,
  injectOutages,
  injectPeerRefusal,
  injectProcessPauses,
  injectRestartsOfAllControllers,
  injectStoreRefusal,
  injectWorkerCut,
  injectZoneCut,
} from "./controller-faults.js";
import {
  injectDeafMachines,
  injectHangs,
  injectMachineFailures,
  injectMutedMachines,
  injectPermanentlyMutedMachines,
  injectSpotReclamation,
} from "./machine-faults.js";
import {
  injectOddRequests,
  injectRequestsDuringPauses,
  injectSimultaneousCancellations,
} from "./request-faults.js";
import { injectStoreOutageAfterRefusal } from "./store-outage-after-refusal.js";

type Inject = (components: SimulationComponents) => void;

const FAULTS: readonly (readonly [keyof FaultScenario, Inject])[] = [
  ["crashes", injectCrashes],
  ["outages", injectOutages],
  ["deaths", injectMachineFailures],
  ["oneWayMachines", injectDeafMachines],
  ["controllerCut", injectControllerCut],
  ["controllerRefused", injectStoreRefusal],
  ["workersUnreachable", injectWorkerCut],
  ["peersRefuse", injectPeerRefusal],
  ["spotWave", injectSpotReclamation],
  ["processPauses", injectProcessPauses],
  ["allControllersCut", injectCutOfAllControllers],
  ["restarts", injectRestartsOfAllControllers],
  ["hangs", injectHangs],
  ["mutedMachines", injectMutedMachines],
  ["mutedForGood", injectPermanentlyMutedMachines],
  ["cancelAtOnce", injectSimultaneousCancellations],
  ["leaderCrashes", injectLeaderCrashes],
  ["allControllersAway", injectDowntimeOfAllControllers],
  ["zoneCut", injectZoneCut],
  ["oddRequests", injectOddRequests],
  ["requestsDuringPauses", injectRequestsDuringPauses],
];

/**
 * Schedules all faults that occur at some time of the day. Faults of single calls or tasks, such as
 * lost messages, are injected where these are handled.
 */
export const injectFaults = (components: SimulationComponents): void => {
  const { scenario } = components.context;
  if (scenario.storeOutageAfterRefusal !== undefined)
    injectStoreOutageAfterRefusal(components, scenario.storeOutageAfterRefusal);
  for (const [fault, inject] of FAULTS) if (scenario[fault] === true) inject(components);
};
