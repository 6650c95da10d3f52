/**
 * Whole controllers as processes of their own, with their settings files and what they log.
 * Owns the processes, by their handles, and a temporary directory until `stop`.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { createInterface } from "node:readline";
import type { History } from "./history.js";

/** A team as settings files name it; processors. */
export interface TeamSettings {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
}

/** How many controllers, and the settings that all have in common. */
export interface ControllerOptions {
  readonly count: number;
  readonly teams: readonly TeamSettings[];
  readonly leaseS: number;
  /** The packages file in JSON. */
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

interface Addresses {
  readonly label: string;
  readonly front: string;
  readonly internal: string;
}

/** The controllers of one run. */
export class Controllers {
  /** Addresses for users and workers, by label. */
  readonly fronts = new Map<string, string>();
  /** The newest statistics that each logged. */
  readonly stats = new Map<string, Record<string, unknown>>();
  readonly #directory = mkdtempSync(path.join(tmpdir(), "loopback-"));
  readonly #running = new Map<string, ChildProcess>();
  readonly #addresses: Addresses[] = [];

  constructor(
    private readonly options: ControllerOptions,
    private readonly history: History,
  ) {}

  /** Chooses free ports for all controllers. */
  async reserve(): Promise<void> {
    for (let i = 0; i < this.options.count; i++) {
      const label = `n-${i}`;
      const front = `127.0.0.1:${await freePort()}`;
      this.#addresses.push({ label, front, internal: `127.0.0.1:${await freePort()}` });
      this.fronts.set(label, front);
    }
  }

  /** Writes all settings files and starts all controllers. */
  start(stateAddress: string, cloudAddress: string): void {
    const packages = path.join(this.#directory, "packages.json");
    writeFileSync(packages, JSON.stringify(this.options.packages));
    for (const own of this.#addresses) {
      const file = this.#file(own.label);
      writeFileSync(file, this.#settings(own, stateAddress, cloudAddress));
      this.spawn(own.label);
    }
  }

  /** Starts the process of one controller. */
  spawn(label: string): void {
    const args = ["target/start.cjs", "--packages", path.join(this.#directory, "packages.json")];
    const child = spawn(process.execPath, [...args, "--config", this.#file(label)], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    this.#running.set(label, child);
    createInterface({ input: child.stderr }).on("line", (line) => this.#onLogLine(label, line));
    child.once("exit", (code, signal) => this.history.record("exit", { label, code, signal }));
  }

  /** Kills one process, by its handle. */
  end(label: string): void {
    this.history.record("ended", { label });
    this.#running.get(label)?.kill("SIGKILL");
    this.#running.delete(label);
  }

  /** Kills all processes, waits for their ends and removes the directory. */
  async stop(): Promise<void> {
    const exits = [...this.#running.values()].map(
      (child) => new Promise((resolve) => child.once("exit", resolve)),
    );
    for (const child of this.#running.values()) child.kill("SIGKILL");
    await Promise.all(exits);
    rmSync(this.#directory, { recursive: true });
  }

  #file(label: string): string {
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

  #settings(own: Addresses, stateAddress: string, cloudAddress: string): string {
    const seeds = this.#addresses.filter((other) => other !== own);
    return `
label = "${own.label}"
area = "a"
front = "${own.front}"
internal_addr = "${own.internal}"
${seeds.map(({ label, internal }) => `[[seeds]]\nlabel = "${label}"\narea = "a"\naddress = "${internal}"`).join("\n")}
[services]
cloud = "${cloudAddress}"
state = "${stateAddress}"
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
