/**
 * Users of the loopback cluster: Poisson arrivals by team, each job submitted until it is accepted
 * and asked about until it is done.
 */
import { randomExponential } from "d3-random";
import { PooledHttpClient } from "../../src/transport/client.js";
import type { Body } from "../sim/fakes/message.js";
import { smallJob } from "../sim/job-spec.js";
import { jobIdOf, jobIdOfTask } from "../sim/task-names.js";
import type { History, JobHistory } from "./history.js";
import type { RealClock } from "./real-clock.js";

/** The jobs of one team over a spell of the run. */
export interface Arrivals {
  readonly team: string;
  readonly jobsPerSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Where users ask, and what their jobs are like. */
export interface UserOptions {
  readonly fronts: ReadonlyMap<string, string>;
  readonly cpus: number;
  readonly maxTasks: number;
  readonly expectS: number;
}

const REQUEST_TIMEOUT_MS = 5000;
const POLL_MS = 2000;
const RETRY_MS = 1000;
const IMAGES_PER_TEAM = 2;
const CONNECTIONS_PER_CONTROLLER = 64;
const MAX_CONNECTIONS = 256;

/** All users of one run. */
export class Users {
  readonly #images = new Map<string, string>();
  readonly #calls = new PooledHttpClient(CONNECTIONS_PER_CONTROLLER, MAX_CONNECTIONS);
  #count = 0;
  #stopped = false;

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

  /** Submits jobs until the spell is over. */
  async arrive({ team, jobsPerSecond, fromMs, untilMs }: Arrivals): Promise<void> {
    const gapS = randomExponential.source(() => this.clock.random())(jobsPerSecond);
    let nextMs = fromMs;
    for (;;) {
      nextMs += gapS() * 1000;
      if (nextMs >= untilMs || this.#stopped) return;
      await this.clock.sleep(Math.max(0, nextMs - this.#now()));
      void this.#job(team);
    }
  }

  /** No user asks for anything any more. */
  stop(): void {
    this.#stopped = true;
    this.#calls.close();
  }

  #now(): number {
    return this.clock.now - this.startedAt;
  }

  async #job(team: string): Promise<void> {
    const { cpus, maxTasks, expectS } = this.options;
    const id = jobIdOf(++this.#count);
    const tasks = 1 + Math.floor(this.clock.random() * maxTasks);
    const image = `img-${team}-${Math.floor(this.clock.random() * IMAGES_PER_TEAM)}`;
    this.#images.set(id, image);
    const job: JobHistory = {
      team,
      tasks,
      cpus,
      submittedAt: this.#now(),
      acceptedAt: undefined,
      startedAt: undefined,
      doneAt: undefined,
    };
    this.history.jobs.set(id, job);
    const spec = smallJob(id, team, { threads: tasks, cpus, bolt: image, expectS });
    while (!this.#stopped && job.acceptedAt === undefined) {
      const status = (await this.#ask("POST", "/work", spec))?.status;
      if (status === 200 || status === 201) job.acceptedAt = this.#now();
      else await this.clock.sleep(RETRY_MS);
    }
    while (!this.#stopped && job.doneAt === undefined) {
      await this.clock.sleep(POLL_MS);
      const answer = await this.#ask("GET", `/work/${id}`);
      if (answer?.status === 404) this.history.violations.push(`forgotten ${id}`);
      const stage = (answer?.body as Body | undefined)?.stage;
      if (stage === "done") job.doneAt = this.#now();
    }
  }

  async #ask(method: string, path: string, body?: Body) {
    const fronts = [...this.options.fronts.values()];
    const address = fronts[Math.floor(this.clock.random() * fronts.length)] ?? "";
    const reply = await this.#calls.call(address, method, path, body, REQUEST_TIMEOUT_MS);
    return reply.kind === "answer" ? reply : undefined;
  }
}
