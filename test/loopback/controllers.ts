/**
 * Runs controllers as separate processes: writes their settings files, starts and kills them, and
 * collects their log lines. Owns the processes and a temporary directory until `stop`.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { createInterface } from "node:readline";
import type { History } from "./history.js";

/** A team in the settings files: its guaranteed processors and its limit. */
export interface TeamSettings {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
}

/** The number of controllers and the settings that all of them share. */
export interface ControllerOptions {
  readonly count: number;
  readonly teams: readonly TeamSettings[];
  readonly leaseS: number;
  /** Content of the packages file; written as JSON. */
  readonly packages: unknown;
}

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });

interface ControllerAddresses {
  readonly label: string;
  readonly front: string;
  readonly internal: string;
}

/** The controllers of one run. */
export class Controllers {
  /** Addresses that serve users and workers, by controller label. */
  readonly frontAddresses = new Map<string, string>();
  /** The latest `stats` event of each controller, by label. */
  readonly stats = new Map<string, Record<string, unknown>>();
  readonly #directory = mkdtempSync(path.join(tmpdir(), "loopback-"));
  readonly #running = new Map<string, ChildProcess>();
  readonly #addresses: ControllerAddresses[] = [];

  constructor(
    private readonly options: ControllerOptions,
    private readonly history: History,
  ) {}

  /** Chooses free ports for all controllers. They are not held open until `start`. */
  async reservePorts(): Promise<void> {
    for (let i = 0; i < this.options.count; i++) {
      const label = `n-${i}`;
      const front = `127.0.0.1:${await freePort()}`;
      this.#addresses.push({ label, front, internal: `127.0.0.1:${await freePort()}` });
      this.frontAddresses.set(label, front);
    }
  }

  /** Writes all settings files and starts all controllers. */
  start(stateStoreAddress: string, cloudAddress: string): void {
    const packages = path.join(this.#directory, "packages.json");
    writeFileSync(packages, JSON.stringify(this.options.packages));
    for (const controller of this.#addresses) {
      const file = this.#settingsFile(controller.label);
      writeFileSync(file, this.#settings(controller, stateStoreAddress, cloudAddress));
      this.startProcess(controller.label);
    }
  }

  /** Starts the process of one controller. */
  startProcess(label: string): void {
    const args = ["target/start.cjs", "--packages", path.join(this.#directory, "packages.json")];
    const child = spawn(process.execPath, [...args, "--config", this.#settingsFile(label)], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    this.#running.set(label, child);
    createInterface({ input: child.stderr }).on("line", (line) => this.#onLogLine(label, line));
    child.once("exit", (code, signal) => this.history.record("exit", { label, code, signal }));
  }

  /** Kills the process of one controller. */
  kill(label: string): void {
    this.history.record("ended", { label });
    this.#running.get(label)?.kill("SIGKILL");
    this.#running.delete(label);
  }

  /** Kills all processes, waits for their exits and removes the temporary directory. */
  async stop(): Promise<void> {
    const exits = [...this.#running.values()].map(
      (child) => new Promise((resolve) => child.once("exit", resolve)),
    );
    for (const child of this.#running.values()) child.kill("SIGKILL");
    await Promise.all(exits);
    rmSync(this.#directory, { recursive: true });
  }

  #settingsFile(label: string): string {
    return path.join(this.#directory, `${label}.toml`);
  }

  #onLogLine(label: string, line: string): void {
    let entry: Record<string, unknown>;
    try {
      entry = JSON.parse(line);
    } catch {
      this.history.record("unreadable log line", { label, line });
      return;
    }
    if (entry.event === "stats") this.stats.set(label, entry);
    else this.history.record(String(entry.event), { label, ...entry });
  }

  #settings(
    controller: ControllerAddresses,
    stateStoreAddress: string,
    cloudAddress: string,
  ): string {
    const seeds = this.#addresses.filter((other) => other !== controller);
    return `
label = "${controller.label}"
area = "a"
front = "${controller.front}"
internal_addr = "${controller.internal}"
${seeds.map(({ label, internal }) => `[[seeds]]\nlabel = "${label}"\narea = "a"\naddress = "${internal}"`).join("\n")}
[services]
cloud = "${cloudAddress}"
state = "${stateStoreAddress}"
[params]
size = ${this.options.count}
zones = ["a", "b"]
${this.options.teams
  .map(
    ({ name, cpus, cpusMax }) => `[[params.teams]]
name = "${name}"
cpus = ${cpus}
cpus_max = ${cpusMax}`,
  )
  .join("\n")}
[[params.objectives]]
kind = "wait"
class = "c"
within_s = 3.0
share = 0.95
[params.workers]
report_s = 3.0
lease_s = ${this.options.leaseS}
cancel_s = ${2 * this.options.leaseS}
[params.state]
rps = 250.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 40
[params.cloud]
rps = 5.0
list_lag_s = 2.0
[params.resources]
cpu_share = 1.0
ram_mb = 512
max_sockets = 4000
`;
  }
}
