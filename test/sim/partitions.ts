/**
 * Who reaches whom: the cuts that a scenario makes between controllers, the state store, the
 * cloud, workers and users.
 *
 * Owns the cuts alone. Fault injection sets and heals them; the network's ends ask before they
 * serve a call. Controllers are named by their indexes.
 */
import type { FakeWorker } from "./fakes/worker.js";

/** While all controllers are cut off together, only the workers of this zone are with them. */
const ZONE_OF_ALL_CUT = "a";
/** A zone's cut leaves this zone's workers and this controller on the same side. */
const CUT_ZONE = "b";
const CUT_ZONE_CONTROLLER = 0;

/** Whether the state store serves a controller, refuses it, or isn't reached. */
export type StoreReach = "reachable" | "refused" | "unreachable";

/** The cuts that stand at the moment. */
export class Partitions {
  /** Controllers cut from the state store and the other controllers, not from their workers. */
  readonly controllersWithoutStoreOrPeers = new Set<number>();
  /** Controllers that the state store refuses. */
  readonly refusedByStore = new Set<number>();
  /** Controllers that reach no worker, nor does any worker reach them. */
  readonly withoutWorkers = new Set<number>();
  /** Controllers that no other reaches. */
  readonly withoutPeers = new Set<number>();
  /** Controllers refuse one another's connections. */
  peersRefuseConnections = false;
  /** All controllers are cut from the state store, the cloud, users and most workers. */
  areAllControllersCut = false;
  /** A zone's workers and one controller are cut from the rest. */
  isZoneCut = false;

  /** How a controller's requests to the state store fare. */
  storeReach(controller: number): StoreReach {
    if (this.controllersWithoutStoreOrPeers.has(controller) || this.areAllControllersCut)
      return "unreachable";
    if (this.isZoneCut && controller === CUT_ZONE_CONTROLLER) return "unreachable";
    return this.refusedByStore.has(controller) ? "refused" : "reachable";
  }

  /** Whether controllers reach the cloud. */
  reachesCloud(): boolean {
    return !this.areAllControllersCut;
  }

  /** Whether a controller's commands get to a worker, as far as the network goes. */
  reachesWorker(controller: number, worker: FakeWorker): boolean {
    return (
      !this.withoutWorkers.has(controller) &&
      !this.#parted(controller, worker) &&
      !this.#outsideAllCut(worker)
    );
  }

  /** Whether a heartbeat gets to a controller; its machine may be gone by the time it arrives. */
  heartbeatArrives(controller: number, worker: FakeWorker | undefined): boolean {
    if (this.withoutWorkers.has(controller)) return false;
    if (worker === undefined) return true;
    return !worker.isMuted && !this.#parted(controller, worker) && !this.#outsideAllCut(worker);
  }

  /** Whether one controller's messages get to another. */
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

  /** Whether users' requests get to a controller. */
  servesUsers(controller: number): boolean {
    return !this.areAllControllersCut && !(this.isZoneCut && controller === CUT_ZONE_CONTROLLER);
  }

  /** The controller and the worker are on different sides of a zone's cut. */
  #parted(controller: number, worker: FakeWorker): boolean {
    const behindCut = worker.rented.zone === CUT_ZONE;
    return this.isZoneCut && (controller === CUT_ZONE_CONTROLLER) !== behindCut;
  }

  #outsideAllCut(worker: FakeWorker): boolean {
    return this.areAllControllersCut && worker.rented.zone !== ZONE_OF_ALL_CUT;
  }
}
