/**
 * The remote ends of a controller's connections. For the state store, the cloud, workers and peers,
 * a port decides whether a request arrives, which faults apply to it and which fake handles it.
 *
 * Ports have no state of their own. Some safeguards are disabled here by falsified responses.
 * Whether a port returns a value or a promise affects the order of later events and so the digests;
 * don't change one into the other.
 */
import type { Controller } from "../../src/service/controller.js";
import type { SimulationContext } from "./context.js";
import type { Body, FakeResponse } from "./fakes/message.js";
import type { HandlerResult } from "./network.js";
import type { Partitions } from "./partitions.js";
import type { StandIns } from "./stand-ins.js";

const LATE_WRITE_FRACTION = 0.08;
const MIN_LATE_WRITE_DELAY_MS = 2000;
const MAX_LATE_WRITE_DELAY_MS = 12_000;

/** A request as it arrives at the remote end. */
export interface PortRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body: Body | undefined;
}

/** Handles one kind of a controller's requests; undefined if there is no response. */
export type Port = (request: PortRequest) => HandlerResult;

/** Finds the running process of a controller by its index; undefined if there is none. */
export type FindController = (index: number) => Controller | undefined;

/** Replaces the `kill` commands of a request by a verb that workers ignore. */
const neutralizeKillCommands = (body: Body | undefined): void => {
  for (const command of (body?.orders ?? []) as Body[])
    if (command.verb === "kill") command.verb = "none";
};

/** Creates the ports of controllers. */
export class ControllerPorts {
  constructor(
    private readonly context: SimulationContext,
    private readonly partitions: Partitions,
    private readonly standIns: StandIns,
  ) {}

  /** The port of a controller to the state store. */
  stateStorePort(controller: number): Port {
    return (request) => {
      const reach = this.partitions.storeReach(controller);
      if (reach === "unreachable") return undefined;
      if (reach === "refused") return { status: 503 };
      this.context.calls.state++;
      if (this.#delaysTransaction(request)) return undefined;
      return this.#falsifiedStoreAnswer(request) ?? this.#store(request);
    };
  }

  /** The port of any controller to the cloud. */
  cloudPort(): Port {
    return ({ path, body }) => {
      if (!this.partitions.reachesCloud()) return undefined;
      const isReturn = path === "/machines/return";
      // Regular returns need a write first, so a return during a store outage is a forced return.
      const isForced = isReturn && this.standIns.stateStore.isDown;
      if (isForced && this.context.isDisabled("forced_returns")) return { status: 503 };
      if (isReturn && this.context.isDisabled("late_returns")) return { status: 503 };
      return this.standIns.cloud.handle(path, body);
    };
  }

  /** The port of a controller to the workers. */
  workersPort(controller: number): Port {
    return ({ address, path, body }) => {
      const worker = this.standIns.workers.get(address.split(":")[0] as string);
      if (worker === undefined || worker.isHanging || worker.isDeaf) return undefined;
      if (!this.partitions.reachesWorker(controller, worker)) return undefined;
      this.context.calls.workers++;
      if (this.context.isDisabled("cancellations") && path === "/orders")
        neutralizeKillCommands(body);
      return worker.handle(path, body);
    };
  }

  /** The port of a controller to its peers. */
  peersPort(controller: number, findController: FindController): Port {
    return async ({ address, method, path, body }) => {
      const peer = Number(address.split(":")[0]?.split(".")[3]);
      const called = findController(peer);
      if (called === undefined) return undefined;
      if (!this.partitions.reachesPeer(controller, peer)) return undefined;
      if (this.context.isDisabled("cancellation_notices") && path === "/peer")
        return { status: 204 };
      const bytes = Buffer.from((body as unknown as Uint8Array | undefined) ?? []);
      return { status: (await called.peerHandler({ method, path, bytes })).status };
    };
  }

  #store({ method, path, body }: PortRequest): Promise<FakeResponse> {
    return this.standIns.stateStore.handle(method, path, body);
  }

  #storeLater(request: PortRequest): void {
    const { clock } = this.context;
    clock.after(clock.between(MIN_LATE_WRITE_DELAY_MS, MAX_LATE_WRITE_DELAY_MS), () => {
      void this.#store(request);
    });
  }

  /**
   * Whether a transaction gets no response and is executed late, after newer ones. Some writes of
   * spans are executed at once as well, so that they happen twice.
   */
  #delaysTransaction(request: PortRequest): boolean {
    if (request.path !== "/txn") return false;
    const { clock, scenario, occurrences } = this.context;
    if (scenario.lateWrites === true && this.context.drawsFault(LATE_WRITE_FRACTION)) {
      occurrences.lateWrites++;
      this.#storeLater(request);
      return true;
    }
    const writesSpan = JSON.stringify(request.body?.apply ?? []).includes('"now/span/');
    if (!writesSpan || clock.random() >= (scenario.lateSpanWrites ?? 0)) return false;
    occurrences.lateSpanWrites++;
    if (clock.random() < 0.5) void this.#store(request);
    this.#storeLater(request);
    return true;
  }

  /** Returns a falsified response if a disabled safeguard replaces that of the state store. */
  #falsifiedStoreAnswer({ path, body }: PortRequest): FakeResponse | undefined {
    if (this.context.isDisabled("comparisons") && path === "/txn" && body?.apply === undefined)
      return { status: 503 };
    if (this.context.isDisabled("final_records") && path.startsWith("/store/final/"))
      return { status: 404, body: { ledger: this.standIns.stateStore.revision } };
    return undefined;
  }
}
