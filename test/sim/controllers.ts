/**
 * The controllers of a simulation: production code, connected over the simulated network, that can
 * be booted, crashed and paused.
 *
 * Owns the running processes. The calls of a crashed process never return, and its periodic tasks
 * stop; the next boot is a new incarnation.
 */
import { incarnation } from "@umberfold/ids";
import { defaultOperators } from "../../src/config/operators.js";
import type { PackageSettings } from "../../src/config/packages.js";
import { makeLogger } from "../../src/observability/log.js";
import { encode } from "../../src/protocol/cbor.js";
import { type Controller, makeController } from "../../src/service/controller.js";
import type { PeriodicTask } from "../../src/service/periodic-task.js";
import type { CallResult, HttpClient } from "../../src/transport/client.js";
import type { HttpResponse } from "../../src/transport/server.js";
import type { SimulationContext } from "./context.js";
import type { ControllerPorts, FindController, Port } from "./controller-ports.js";
import type { Body, FakeResponse } from "./fakes/message.js";
import { bytesOf, decoded, type SimulatedNetwork } from "./network.js";
import type { Partitions } from "./partitions.js";
import { ProcessPauses } from "./process-pauses.js";
import { settingsOf } from "./settings.js";
import type { StandIns } from "./stand-ins.js";

const HEARTBEAT_PATH = "/agent/beat";
const REQUEST_TIMEOUT_MS = 4000;
/** With `repeatedRequests`, the fraction of requests that are delivered again after a delay. */
const REPEATED_FRACTION = 0.05;
const MIN_REPEAT_DELAY_MS = 2000;
const MAX_REPEAT_DELAY_MS = 90_000;

/** A controller's response, and when it left the controller. */
export interface ControllerResponse extends FakeResponse {
  readonly leftAt: number;
}

/** One process of a controller, from boot to crash. */
interface ControllerProcess {
  readonly controller: Controller;
  alive: boolean;
}

/** What controllers are built from and connected to. */
export interface ControllerDependencies {
  readonly context: SimulationContext;
  readonly network: SimulatedNetwork;
  readonly partitions: Partitions;
  readonly ports: ControllerPorts;
  readonly standIns: StandIns;
  /** Returns the package settings; called at each boot. */
  readonly packages: () => PackageSettings;
}

/** All controllers of one simulation, identified by index. */
export class SimulatedControllers {
  /** The names of the periodic tasks that controllers run. */
  readonly taskNames = new Set<string>();
  readonly #processes: (ControllerProcess | undefined)[] = [];
  readonly #pauses = new ProcessPauses();
  #incarnations = 0;

  constructor(private readonly dependencies: ControllerDependencies) {}

  /** Starts a new process for a controller. */
  boot(index: number): void {
    const { context, ports, packages } = this.dependencies;
    const { scenario, labels } = context;
    const status = { alive: true };
    const isAlive = (): boolean => status.alive;
    const connections = {
      state: this.#connection(index, isAlive, ports.stateStorePort(index)),
      cloud: this.#connection(index, isAlive, ports.cloudPort()),
      workers: this.#connection(index, isAlive, ports.workersPort(index)),
      peers: this.#connection(index, isAlive, ports.peersPort(index, this.#findRunning)),
    };
    const controller = makeController(
      settingsOf(index, labels, context.scale.quotaCpus, scenario.floodTeam === true),
      defaultOperators(),
      packages(),
      makeLogger("error", { node: labels[index] }, (line) => {
        if (scenario.lost === 0) context.violations.push(line);
      }),
      connections,
      incarnation(`inc-${++this.#incarnations}`),
      () => context.clock.random(),
    );
    const started: ControllerProcess = Object.assign(status, { controller });
    this.#processes[index] = started;
    for (const task of controller.tasks) this.taskNames.add(task.name);
    for (const task of controller.tasks)
      if (task.name !== "stats") void this.#runPeriodically(index, started, task);
  }

  /** Starts all controllers. */
  bootAll(): void {
    for (let index = 0; index < this.dependencies.context.labels.length; index++) this.boot(index);
  }

  /** Kills a controller's process and boots a new one after a delay; no effect if it is down. */
  crash(index: number, restartDelayMs: number): void {
    const process = this.#processes[index];
    if (process === undefined || !process.alive) return;
    process.alive = false;
    this.#processes[index] = undefined;
    this.#pauses.resume(index);
    this.dependencies.context.clock.after(restartDelayMs, () => this.boot(index));
  }

  /** Pauses a controller's process; no effect if the controller is already paused or down. */
  pause(index: number, ms: number): void {
    if (this.#pauses.isPaused(index) || this.#processes[index] === undefined) return;
    const { clock, occurrences } = this.dependencies.context;
    occurrences.processPauses++;
    this.#pauses.pause(index);
    clock.after(ms, () => this.#pauses.resume(index));
  }

  /** Sends a request of a user or a worker to a controller; undefined if there is no response. */
  async request(
    label: string,
    method: string,
    path: string,
    body?: Body,
  ): Promise<ControllerResponse | undefined> {
    const { clock, labels } = this.dependencies.context;
    const index = labels.indexOf(label);
    let leftAt = clock.now;
    const serve = async (): Promise<FakeResponse | undefined> => {
      const response = await this.#serve(index, method, path, body);
      leftAt = clock.now;
      return response;
    };
    const caller = path === HEARTBEAT_PATH ? `worker ${body?.loom}` : "user";
    const sent = { caller, target: label, method, path, body: bytesOf(body) };
    const result = await this.dependencies.network.carryCall(sent, serve, REQUEST_TIMEOUT_MS);
    return result.kind === "answer" ? { ...result, leftAt } : undefined;
  }

  async #serve(
    index: number,
    method: string,
    path: string,
    body: Body | undefined,
  ): Promise<FakeResponse | undefined> {
    const process = this.#processes[index];
    if (process === undefined || !this.#arrives(index, path, body)) return undefined;
    await this.#pauses.waitUntilRunning(index);
    if (path.endsWith("/withdraw") && this.dependencies.context.isDisabled("cancellations"))
      return { status: 200, body: { stage: "cancelled" } };
    const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
    const response: HttpResponse = await process.controller.frontHandler({ method, path, bytes });
    return process.alive ? { status: response.status, body: response.body } : undefined;
  }

  #arrives(index: number, path: string, body: Body | undefined): boolean {
    const { partitions, standIns } = this.dependencies;
    return path === HEARTBEAT_PATH
      ? partitions.heartbeatArrives(index, standIns.workers.get(String(body?.loom)))
      : partitions.usersReach(index);
  }

  readonly #findRunning: FindController = (index) => {
    const process = this.#processes[index];
    return process?.alive === true ? process.controller : undefined;
  };

  async #runPeriodically(
    index: number,
    process: ControllerProcess,
    task: PeriodicTask,
  ): Promise<void> {
    while (process.alive) {
      await this.#pauses.waitUntilRunning(index);
      if (!process.alive) return;
      await task.run();
      await this.dependencies.context.clock.sleep(Math.max(1, task.pauseMs));
    }
  }

  /** An HTTP client of a controller for one port; calls of a crashed process never return. */
  #connection(index: number, isAlive: () => boolean, port: Port): HttpClient {
    const { clock, scenario } = this.dependencies.context;
    const caller = String(index);
    const call = async (
      target: string,
      method: string,
      path: string,
      value: unknown,
      bytes: Uint8Array | undefined,
      timeoutMs: number,
    ): Promise<CallResult> => {
      await this.#pauses.waitUntilRunning(index);
      const request = { address: target, method, path, body: value as Body | undefined };
      const sent = { caller, target, method, path, body: bytes };
      const isRepeated =
        scenario.repeatedRequests === true &&
        method !== "GET" &&
        clock.random() < REPEATED_FRACTION;
      const result = await this.dependencies.network.carryCall(
        sent,
        () => port(request),
        timeoutMs,
      );
      if (isRepeated)
        clock.after(
          clock.between(MIN_REPEAT_DELAY_MS, MAX_REPEAT_DELAY_MS),
          () => void port(request),
        );
      await this.#pauses.waitUntilRunning(index);
      return isAlive() ? result : new Promise<CallResult>(() => {});
    };
    return {
      call: (address, method, path, body, timeoutMs) => {
        const bytes = bytesOf(body);
        return call(address, method, path, decoded(bytes), bytes, timeoutMs);
      },
      callRaw: (address, method, path, payload, timeoutMs) =>
        call(address, method, path, payload, payload, timeoutMs),
      close: () => undefined,
    };
  }
}
