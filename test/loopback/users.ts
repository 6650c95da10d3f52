/**
 * Users of the loopback cluster. Each team submits jobs as a Poisson process; a user retries the
 * submission of a job until it is accepted, and then polls its status until it is done.
 */
import { randomExponential } from "d3-random";
import { PooledHttpClient } from "../../src/transport/client.js";
import type { Body } from "../sim/fakes/message.js";
import { smallJob } from "../sim/job-spec.js";
import { jobIdOf, jobIdOfTask } from "../sim/task-names.js";
import type { History, JobHistory } from "./history.js";
import type { RealClock } from "./real-clock.js";

/** A period of the run in which one team submits jobs. */
export interface ArrivalPeriod {
  readonly team: string;
  readonly jobsPerSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The controllers that users call, and the shape of their jobs. */
export interface UserOptions {
  /** Addresses that serve users, by controller label. */
  readonly controllerAddresses: ReadonlyMap<string, string>;
  readonly cpusPerTask: number;
  readonly maxTasks: number;
  readonly expectedRunS: number;
}

const REQUEST_TIMEOUT_MS = 5000;
const STATUS_POLL_INTERVAL_MS = 2000;
const SUBMIT_RETRY_DELAY_MS = 1000;
const IMAGES_PER_TEAM = 2;
const CONNECTIONS_PER_CONTROLLER = 64;
const MAX_CONNECTIONS = 256;

/** All users of one run. */
export class Users {
  /** The image of each job, by job id. */
  readonly #images = new Map<string, string>();
  readonly #httpClient = new PooledHttpClient(CONNECTIONS_PER_CONTROLLER, MAX_CONNECTIONS);
  #jobCount = 0;
  #isStopped = false;

  constructor(
    private readonly clock: RealClock,
    private readonly history: History,
    private readonly startedAt: number,
    private readonly options: UserOptions,
  ) {}

  /** The image of a task's job; empty if the job is unknown. */
  imageOf(task: string): string {
    return this.#images.get(jobIdOfTask(task)) ?? "";
  }

  /** Submits jobs of one team until the period is over. */
  async submitJobs({ team, jobsPerSecond, fromMs, untilMs }: ArrivalPeriod): Promise<void> {
    const nextGapS = randomExponential.source(() => this.clock.random())(jobsPerSecond);
    let nextMs = fromMs;
    for (;;) {
      nextMs += nextGapS() * 1000;
      if (nextMs >= untilMs || this.#isStopped) return;
      await this.clock.sleep(Math.max(0, nextMs - this.#now()));
      void this.#runJob(team);
    }
  }

  /** Stops all submissions and status polls. */
  stop(): void {
    this.#isStopped = true;
    this.#httpClient.close();
  }

  #now(): number {
    return this.clock.now - this.startedAt;
  }

  async #runJob(team: string): Promise<void> {
    const { cpusPerTask, maxTasks, expectedRunS } = this.options;
    const id = jobIdOf(++this.#jobCount);
    const tasks = 1 + Math.floor(this.clock.random() * maxTasks);
    const image = `img-${team}-${Math.floor(this.clock.random() * IMAGES_PER_TEAM)}`;
    this.#images.set(id, image);
    const job: JobHistory = {
      team,
      tasks,
      cpus: cpusPerTask,
      submittedAt: this.#now(),
      acceptedAt: undefined,
      startedAt: undefined,
      doneAt: undefined,
    };
    this.history.jobs.set(id, job);
    const spec = smallJob(id, team, {
      threads: tasks,
      cpus: cpusPerTask,
      bolt: image,
      expectS: expectedRunS,
    });
    while (!this.#isStopped && job.acceptedAt === undefined) {
      const status = (await this.#request("POST", "/work", spec))?.status;
      if (status === 200 || status === 201) job.acceptedAt = this.#now();
      else await this.clock.sleep(SUBMIT_RETRY_DELAY_MS);
    }
    while (!this.#isStopped && job.doneAt === undefined) {
      await this.clock.sleep(STATUS_POLL_INTERVAL_MS);
      const answer = await this.#request("GET", `/work/${id}`);
      if (answer?.status === 404) this.history.violations.push(`forgotten ${id}`);
      const stage = (answer?.body as Body | undefined)?.stage;
      if (stage === "done") job.doneAt = this.#now();
    }
  }

  async #request(method: string, path: string, body?: Body) {
    const addresses = [...this.options.controllerAddresses.values()];
    const address = addresses[Math.floor(this.clock.random() * addresses.length)] ?? "";
    const reply = await this.#httpClient.call(address, method, path, body, REQUEST_TIMEOUT_MS);
    return reply.kind === "answer" ? reply : undefined;
  }
}
