/**
 * State store, cloud and workers of the loopback cluster, behind real sockets on 127.0.0.1. Owns the
 * servers and the workers until `stop`.
 */
import type http from "node:http";
import type { AddressInfo } from "node:net";
import { makeLogger } from "../../src/observability/log.js";
import { PooledHttpClient } from "../../src/transport/client.js";
import { decodeBody, type HttpRequest, makeServer } from "../../src/transport/server.js";
import { FakeCloud, type RentedMachine } from "../sim/fakes/cloud.js";
import type { Body, FakeResponse } from "../sim/fakes/message.js";
import { FakeStateStore } from "../sim/fakes/state-store.js";
import { FakeWorker } from "../sim/fakes/worker.js";
import type { History } from "./history.js";
import type { RealClock } from "./real-clock.js";

/** Processors of the one machine type that the cloud offers. */
export const MACHINE_CPUS = 8;
const BOOT_MS = [2000, 5000] as const;
const BOOT_S = 4;
const STATE_DELAY_MS = 3;
const HEARTBEAT_TIMEOUT_MS = 4000;
const MAX_CONNECTIONS = 20_000;

const MACHINE_TYPE = {
  label: "w8",
  cpus: MACHINE_CPUS,
  gpus: 0,
  ramGb: 32,
  cacheGb: 30,
  pullGbPerS: 1,
  price: 1,
  spotPrice: 0.5,
  bootS: BOOT_S,
  mills: ["a", "b"],
};

const log = makeLogger("error", { node: "stand-in" });

type Handle = (
  method: string,
  path: string,
  body: Body | undefined,
) => FakeResponse | Promise<FakeResponse>;

/** Serves requests on a port that is free. */
const listen = async (handle: Handle): Promise<{ server: http.Server; address: string }> => {
  const answer = async ({ method, path, bytes }: HttpRequest) => {
    const body = bytes.length === 0 ? undefined : decodeBody(bytes);
    return handle(method, path, body?.ok === true ? (body.value as Body) : undefined);
  };
  const server = makeServer(answer, MAX_CONNECTIONS, log);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

/** How many machines there are, and how their workers behave. */
export interface StandInOptions {
  readonly workers: number;
  readonly leaseMs: number;
  readonly runMs: readonly [number, number];
  /** Addresses of the controllers that get heartbeats, by label. */
  readonly controllers: ReadonlyMap<string, string>;
}

/** The stand-ins of one run. */
export class StandIns {
  /** Workers of machines that are up, by machine. */
  readonly workers = new Map<string, FakeWorker>();
  /** Known after `start`. */
  stateAddress = "";
  /** Known after `start`. */
  cloudAddress = "";
  /** The state store, for those that look into its records. */
  readonly state: FakeStateStore;
  readonly #cloud: FakeCloud;
  readonly #servers = new Map<string, http.Server>();
  readonly #calls = new PooledHttpClient(MAX_CONNECTIONS, MAX_CONNECTIONS);
  readonly #images = new Map<string, Set<string>>();

  constructor(
    private readonly clock: RealClock,
    private readonly history: History,
    private readonly options: StandInOptions,
    private readonly imageOf: (task: string) => string,
  ) {
    this.state = new FakeStateStore(clock);
    this.#cloud = new FakeCloud(
      [MACHINE_TYPE],
      options.workers,
      (machine) => clock.after(clock.between(...BOOT_MS), () => void this.#boot(machine)),
      (id) => this.#endMachine(id),
    );
    this.#cloud.endpointOf = (id) => this.workers.get(id)?.endpoint ?? "127.0.0.1:1";
  }

  /** Opens the sockets of the state store and the cloud. */
  async start(): Promise<void> {
    const state = await listen(async (method, path, body) => {
      await this.clock.sleep(STATE_DELAY_MS);
      return this.state.handle(method, path, body);
    });
    const cloud = await listen((_method, path, body) => this.#cloud.handle(path, body));
    this.#servers.set("state", state.server).set("cloud", cloud.server);
    this.stateAddress = state.address;
    this.cloudAddress = cloud.address;
  }

  /** Ends all workers and closes all sockets. */
  stop(): void {
    for (const id of [...this.workers.keys()]) this.#endMachine(id);
    for (const server of this.#servers.values()) {
      server.close();
      server.closeAllConnections();
    }
    this.#calls.close();
  }

  async #boot(machine: RentedMachine): Promise<void> {
    if (!this.#cloud.rentedMachines.has(machine.id)) return;
    const labels = [...this.options.controllers.keys()];
    const worker = new FakeWorker(this.clock, machine, labels, this.options.leaseMs, {
      onTaskStarted: (_worker, task) => this.#onStart(machine.id, task),
      onTaskEnded: (_worker, task) => this.history.left(machine.id, task),
      runMs: () => this.clock.between(...this.options.runMs),
      failsThisStart: () => false,
      heartbeat: (label, status) => this.#heartbeat(label, status),
    });
    worker.sendsHeartbeatOnRedirect = true;
    this.workers.set(machine.id, worker);
    const { server, address } = await listen((_method, path, body) => worker.handle(path, body));
    worker.endpoint = address;
    this.#servers.set(machine.id, server);
  }

  #onStart(id: string, task: string): void {
    const image = this.imageOf(task);
    const images = this.#images.get(id) ?? new Set<string>();
    this.#images.set(id, images);
    this.history.began(id, task, images.has(image));
    images.add(image);
  }

  async #heartbeat(label: string, status: Body): Promise<FakeResponse | undefined> {
    const address = this.options.controllers.get(label) ?? "";
    const reply = await this.#calls.call(
      address,
      "POST",
      "/agent/beat",
      status,
      HEARTBEAT_TIMEOUT_MS,
    );
    return reply.kind === "answer" ? { status: reply.status, body: reply.body } : undefined;
  }

  #endMachine(id: string): void {
    this.workers.get(id)?.die();
    this.workers.delete(id);
    this.#servers.get(id)?.close();
    this.#servers.get(id)?.closeAllConnections();
    this.#servers.delete(id);
  }
}
