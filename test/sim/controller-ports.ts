/**
 * What stands at the other end of a controller's connections: for each of the state store, the
 * cloud, workers and peers, whether a request gets there, which faults meet it and who serves it.
 *
 * Owns nothing; some safeguards are switched off here, by what is answered in place of the truth.
 * Whether an answer comes as a value or as a promise decides on the order of all that follows, so
 * each port goes on giving the one that it gives.
 */
import type { Controller } from "../../src/service/controller.js";
import type { SimulationContext } from "./context.js";
import type { Body, Out } from "./fakes/message.js";
import type { Answer } from "./network.js";
import type { Partitions } from "./partitions.js";
import type { StandIns } from "./stand-ins.js";

const LATE_WRITE_SHARE = 0.08;
const MIN_LATE_WRITE_MS = 2000;
const MAX_LATE_WRITE_MS = 12_000;

/** A request as it arrives at the called side. */
export interface PortRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body: Body | undefined;
}

/** Serves one kind of a controller's requests; undefined if the request isn't reached or answered. */
export type Port = (request: PortRequest) => Answer;

/** Finds the running process of a controller by its index; undefined if there is none. */
export type FindController = (index: number) => Controller | undefined;

/** Turns the stop commands of a request into commands that do nothing. */
const removeStops = (body: Body | undefined): void => {
  for (const command of (body?.orders ?? []) as Body[])
    if (command.verb === "kill") command.verb = "none";
};

/** Makes the ports of controllers. */
export class ControllerPorts {
  constructor(
    private readonly context: SimulationContext,
    private readonly partitions: Partitions,
    private readonly standIns: StandIns,
  ) {}

  /** The state store, as this controller reaches it. */
  state(controller: number): Port {
    return (request) => {
      const reach = this.partitions.storeReach(controller);
      if (reach === "unreachable") return undefined;
      if (reach === "refused") return { status: 503 };
      this.context.calls.state++;
      if (this.#delaysTransaction(request)) return undefined;
      return this.#falsifiedStoreAnswer(request) ?? this.#store(request);
    };
  }

  /** The cloud, as any controller reaches it. */
  cloud(): Port {
    return ({ path, body }) => {
      if (!this.partitions.reachesCloud()) return undefined;
      const isReturn = path === "/machines/return";
      // Nothing can be written in an outage, so any return is then a controller's forced one.
      const isForced = isReturn && this.standIns.stateStore.down;
      if (isForced && this.context.isDisabled("forced_returns")) return { status: 503 };
      if (isReturn && this.context.isDisabled("late_returns")) return { status: 503 };
      return this.standIns.cloud.handle(path, body);
    };
  }

  /** The workers, as this controller reaches them. */
  workers(controller: number): Port {
    return ({ address, path, body }) => {
      const worker = this.standIns.workers.get(address.split(":")[0] as string);
      if (worker === undefined || worker.hangs || worker.deaf) return undefined;
      if (!this.partitions.reachesWorker(controller, worker)) return undefined;
      this.context.calls.workers++;
      if (this.context.isDisabled("cancellations") && path === "/orders") removeStops(body);
      return worker.handle(path, body);
    };
  }

  /** The other controllers, as this one reaches them. */
  peers(controller: number, findController: FindController): Port {
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

  #store({ method, path, body }: PortRequest): Promise<Out> {
    return this.standIns.stateStore.handle(method, path, body);
  }

  #storeLater(request: PortRequest): void {
    const { clock } = this.context;
    clock.after(clock.between(MIN_LATE_WRITE_MS, MAX_LATE_WRITE_MS), () => {
      void this.#store(request);
    });
  }

  /** Whether a transaction gets no answer, to be carried out late: after newer ones, or twice. */
  #delaysTransaction(request: PortRequest): boolean {
    if (request.path !== "/txn") return false;
    const { clock, scenario, occurrences } = this.context;
    if (scenario.lateWrites === true && this.context.strikes(LATE_WRITE_SHARE)) {
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

  /** What a disabled safeguard puts in place of the state store's answer, if anything. */
  #falsifiedStoreAnswer({ path, body }: PortRequest): Out | undefined {
    if (this.context.isDisabled("comparisons") && path === "/txn" && body?.apply === undefined)
      return { status: 503 };
    if (this.context.isDisabled("final_records") && path.startsWith("/store/final/"))
      return { status: 404, body: { ledger: this.standIns.stateStore.rev } };
    return undefined;
  }
}
