/**
 * Schedules the faults of a scenario, one function a kind of fault.
 *
 * The table's order is the order of the random draws before a day begins: a fault that moves in it
 * makes another day of the same seed.
 */
import type { FaultScenario } from "../faults.js";
import type { SimulationParts } from "../parts.js";
import {
  injectAbsenceOfAll,
  injectControllerCut,
  injectCrashes,
  injectCutOfAll,
  injectLeaderCrashes,
  injectOutages,
  injectPeerRefusal,
  injectProcessPauses,
  injectRefusal,
  injectRestarts,
  injectWorkerCut,
  injectZoneCut,
} from "./controller-faults.js";
import {
  injectDeaths,
  injectHangs,
  injectLastingMutes,
  injectMutedMachines,
  injectOneWayMachines,
  injectSpotWave,
} from "./machine-faults.js";
import { injectCancellationsAtOnce, injectOddRequests } from "./request-faults.js";
import { injectStoreOutageAfterRefusal } from "./store-outage-after-refusal.js";

type Inject = (parts: SimulationParts) => void;

const FAULTS: readonly (readonly [keyof FaultScenario, Inject])[] = [
  ["crashes", injectCrashes],
  ["outages", injectOutages],
  ["deaths", injectDeaths],
  ["oneWayMachines", injectOneWayMachines],
  ["controllerCut", injectControllerCut],
  ["controllerRefused", injectRefusal],
  ["workersUnreachable", injectWorkerCut],
  ["peersRefuse", injectPeerRefusal],
  ["spotWave", injectSpotWave],
  ["processPauses", injectProcessPauses],
  ["allControllersCut", injectCutOfAll],
  ["restarts", injectRestarts],
  ["hangs", injectHangs],
  ["mutedMachines", injectMutedMachines],
  ["mutedForGood", injectLastingMutes],
  ["cancelAtOnce", injectCancellationsAtOnce],
  ["leaderCrashes", injectLeaderCrashes],
  ["allControllersAway", injectAbsenceOfAll],
  ["zoneCut", injectZoneCut],
  ["oddRequests", injectOddRequests],
];

/** Schedules all faults of the day that come at a time; the others lie in wait where they strike. */
export const injectFaults = (parts: SimulationParts): void => {
  const { scenario } = parts.context;
  if (scenario.storeOutageAfterRefusal !== undefined)
    injectStoreOutageAfterRefusal(parts, scenario.storeOutageAfterRefusal);
  for (const [fault, inject] of FAULTS) if (scenario[fault] === true) inject(parts);
};
