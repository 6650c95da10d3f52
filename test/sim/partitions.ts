/**
 * Network partitions between controllers, the state store, the cloud, workers and users.
 *
 * Fault injection sets and clears them; the called side checks them before it handles a call.
 * Controllers are identified by index.
 */
import type { FakeWorker } from "./fakes/worker.js";

/** While all controllers are cut off together, they only reach the workers of this zone. */
const REACHABLE_ZONE_IN_CUT_OF_ALL = "a";
/** A zone cut separates the workers of this zone and this controller from the rest. */
const CUT_ZONE = "b";
const CUT_ZONE_CONTROLLER = 0;

/** Whether a controller's requests reach the state store and are served. */
export type StoreReach = "reachable" | "refused" | "unreachable";

/** The current partitions. */
export class Partitions {
  /** Controllers cut off from the state store and their peers, but not from their workers. */
  readonly controllersWithoutStoreOrPeers = new Set<number>();
  /** Controllers whose requests the state store refuses. */
  readonly refusedByStore = new Set<number>();
  /** Controllers that are cut off from all workers. */
  readonly withoutWorkers = new Set<number>();
  /** Controllers that are cut off from the other controllers. */
  readonly withoutPeers = new Set<number>();
  /** Whether controllers refuse connections from each other. */
  peersRefuseConnections = false;
  /** Whether all controllers are cut off from the state store, cloud, users and most workers. */
  areAllControllersCut = false;
  /** Whether the workers of a zone and one controller are cut off from the rest. */
  isZoneCut = false;

  /** Whether a controller reaches the state store. */
  storeReach(controller: number): StoreReach {
    if (this.controllersWithoutStoreOrPeers.has(controller) || this.areAllControllersCut)
      return "unreachable";
    if (this.isZoneCut && controller === CUT_ZONE_CONTROLLER) return "unreachable";
    return this.refusedByStore.has(controller) ? "refused" : "reachable";
  }

  /** Whether controllers reach the cloud API. */
  reachesCloud(): boolean {
    return !this.areAllControllersCut;
  }

  /** Whether the network delivers a controller's commands to a worker. */
  reachesWorker(controller: number, worker: FakeWorker): boolean {
    return (
      !this.withoutWorkers.has(controller) &&
      !this.#isSeparatedByZoneCut(controller, worker) &&
      !this.#isUnreachableInCutOfAll(worker)
    );
  }

  /** Whether a heartbeat reaches a controller; the worker is undefined if it no longer exists. */
  heartbeatArrives(controller: number, worker: FakeWorker | undefined): boolean {
    if (this.withoutWorkers.has(controller)) return false;
    if (worker === undefined) return true;
    return (
      !worker.isMuted &&
      !this.#isSeparatedByZoneCut(controller, worker) &&
      !this.#isUnreachableInCutOfAll(worker)
    );
  }

  /** Whether messages of one controller reach another. */
  reachesPeer(from: number, to: number): boolean {
    if (this.peersRefuseConnections) return false;
    if (
      this.controllersWithoutStoreOrPeers.has(from) ||
      this.controllersWithoutStoreOrPeers.has(to)
    )
      return false;
    if (this.withoutPeers.has(from) || this.withoutPeers.has(to)) return false;
    return !(this.isZoneCut && (from === CUT_ZONE_CONTROLLER || to === CUT_ZONE_CONTROLLER));
  }

  /** Whether users' requests reach a controller. */
  usersReach(controller: number): boolean {
    return !this.areAllControllersCut && !(this.isZoneCut && controller === CUT_ZONE_CONTROLLER);
  }

  /** Whether a zone cut separates the controller from the worker. */
  #isSeparatedByZoneCut(controller: number, worker: FakeWorker): boolean {
    const isInCutZone = worker.rented.zone === CUT_ZONE;
    return this.isZoneCut && (controller === CUT_ZONE_CONTROLLER) !== isInCutZone;
  }

  #isUnreachableInCutOfAll(worker: FakeWorker): boolean {
    return this.areAllControllersCut && worker.rented.zone !== REACHABLE_ZONE_IN_CUT_OF_ALL;
  }
}
