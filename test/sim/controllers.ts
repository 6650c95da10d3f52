/**
 * The controllers of a simulation: real ones, booted, crashed and paused, with connections over
 * the simulated network.
 *
 * Owns which processes are alive. A crashed process's calls never come back to it, and its periodic
 * tasks end with it; the next boot is a new incarnation.
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
import type { Body, Out } from "./fakes/message.js";
import { bytesOf, decoded, type SimulatedNetwork } from "./network.js";
import type { Partitions } from "./partitions.js";
import { ProcessPauses } from "./process-pauses.js";
import { settingsOf } from "./settings.js";
import type { StandIns } from "./stand-ins.js";

const HEARTBEAT_PATH = "/agent/beat";
const REQUEST_TIMEOUT_MS = 4000;
/** On days of repetitions so many requests come again, so much later. */
const REPEATED_SHARE = 0.05;
const MIN_REPEAT_MS = 2000;
const MAX_REPEAT_MS = 90_000;

/** One process of a controller, from its boot to its crash. */
interface ControllerProcess {
  readonly controller: Controller;
  alive: boolean;
}

/** What controllers are made of and connected to. */
export interface ControllerSurroundings {
  readonly context: SimulationContext;
  readonly network: SimulatedNetwork;
  readonly partitions: Partitions;
  readonly ports: ControllerPorts;
  readonly standIns: StandIns;
  /** Which packages are on: read at each boot. */
  readonly packages: () => PackageSettings;
}

/** All controllers of one simulation, by their indexes. */
export class SimulatedControllers {
  /** The periodic tasks that controllers run. */
  readonly taskNames = new Set<string>();
  readonly #processes: (ControllerProcess | undefined)[] = [];
  readonly #pauses = new ProcessPauses();
  #incarnations = 0;

  constructor(private readonly surroundings: ControllerSurroundings) {}

  /** Starts a new process for a controller. */
  boot(index: number): void {
    const { context, ports, packages } = this.surroundings;
    const { scenario, labels } = context;
    const life = { alive: true };
    const isAlive = (): boolean => life.alive;
    const connections = {
      state: this.#connection(index, isAlive, ports.state(index)),
      cloud: this.#connection(index, isAlive, ports.cloud()),
      workers: this.#connection(index, isAlive, ports.workers(index)),
      peers: this.#connection(index, isAlive, ports.peers(index, this.#findRunning)),
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
    const started: ControllerProcess = Object.assign(life, { controller });
    this.#processes[index] = started;
    for (const task of controller.tasks) this.taskNames.add(task.name);
    for (const task of controller.tasks)
      if (task.name !== "stats") void this.#runPeriodically(index, started, task);
  }

  /** Starts all controllers. */
  bootAll(): void {
    for (let index = 0; index < this.surroundings.context.labels.length; index++) this.boot(index);
  }

  /** Ends a controller's process and boots a new one so much later; nothing if it is down. */
  crash(index: number, backMs: number): void {
    const process = this.#processes[index];
    if (process === undefined || !process.alive) return;
    process.alive = false;
    this.#processes[index] = undefined;
    this.#pauses.resume(index);
    this.surroundings.context.clock.after(backMs, () => this.boot(index));
  }

  /** A process pause of so long; nothing if the controller is paused or down. */
  pause(index: number, ms: number): void {
    if (this.#pauses.isPaused(index) || this.#processes[index] === undefined) return;
    const { clock, occurrences } = this.surroundings.context;
    occurrences.processPauses++;
    this.#pauses.pause(index);
    clock.after(ms, () => this.#pauses.resume(index));
  }

  /** A request of a user or a worker to a controller; undefined if no answer came. */
  async request(
    label: string,
    method: string,
    path: string,
    body?: Body,
  ): Promise<Out | undefined> {
    const index = this.surroundings.context.labels.indexOf(label);
    const caller = path === HEARTBEAT_PATH ? `worker ${body?.loom}` : "user";
    const sent = { caller, target: label, method, path, body: bytesOf(body) };
    const result = await this.surroundings.network.call(
      sent,
      () => this.#serve(index, method, path, body),
      REQUEST_TIMEOUT_MS,
    );
    return result.kind === "answer" ? result : undefined;
  }

  async #serve(
    index: number,
    method: string,
    path: string,
    body: Body | undefined,
  ): Promise<Out | undefined> {
    const process = this.#processes[index];
    if (process === undefined || !this.#arrives(index, path, body)) return undefined;
    await this.#pauses.whenRunning(index);
    if (path.endsWith("/withdraw") && this.surroundings.context.isDisabled("cancellations"))
      return { status: 200, body: { stage: "cancelled" } };
    const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
    const response: HttpResponse = await process.controller.frontHandler({ method, path, bytes });
    return process.alive ? { status: response.status, body: response.body } : undefined;
  }

  #arrives(index: number, path: string, body: Body | undefined): boolean {
    const { partitions, standIns } = this.surroundings;
    return path === HEARTBEAT_PATH
      ? partitions.heartbeatArrives(index, standIns.workers.get(String(body?.loom)))
      : partitions.servesUsers(index);
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
      await this.#pauses.whenRunning(index);
      if (!process.alive) return;
      await task.run();
      await this.surroundings.context.clock.sleep(Math.max(1, task.pauseMs));
    }
  }

  /** One kind of way out of a controller; a crashed process's calls never come back to it. */
  #connection(index: number, isAlive: () => boolean, port: Port): HttpClient {
    const { clock, scenario } = this.surroundings.context;
    const caller = String(index);
    const call = async (
      target: string,
      method: string,
      path: string,
      value: unknown,
      bytes: Uint8Array | undefined,
      timeoutMs: number,
    ): Promise<CallResult> => {
      await this.#pauses.whenRunning(index);
      const request = { address: target, method, path, body: value as Body | undefined };
      const sent = { caller, target, method, path, body: bytes };
      const isRepeated =
        scenario.repeatedRequests === true && method !== "GET" && clock.random() < REPEATED_SHARE;
      const result = await this.surroundings.network.call(sent, () => port(request), timeoutMs);
      if (isRepeated)
        clock.after(clock.between(MIN_REPEAT_MS, MAX_REPEAT_MS), () => void port(request));
      await this.#pauses.whenRunning(index);
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
