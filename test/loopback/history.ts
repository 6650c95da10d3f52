/**
 * What happened in a run, by the users' and the workers' own word, and the rules of the protocol
 * checked against it.
 */
import { build } from "hdr-histogram-js";
import { jobIdOfTask } from "../sim/task-names.js";

/** One job as its user and the workers saw it; times in milliseconds of the run. */
export interface JobHistory {
  readonly team: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly submittedAt: number;
  acceptedAt: number | undefined;
  startedAt: number | undefined;
  doneAt: number | undefined;
}

/** Waiting times of a team's jobs, in milliseconds. */
export interface Waits {
  readonly jobs: number;
  readonly unstarted: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

const SIGNIFICANT_DIGITS = 3;

/** The record of one run; times are milliseconds since it began. */
export class History {
  /** All submitted jobs, by id. */
  readonly jobs = new Map<string, JobHistory>();
  /** Broken rules, by the protocol's names. */
  readonly violations: string[] = [];
  /** What controllers logged and what was done to them, in order. */
  readonly events: Record<string, unknown>[] = [];
  /** Starts of tasks. */
  starts = 0;
  /** Starts that found their image on the machine. */
  imagesAtHand = 0;
  readonly #machinesOf = new Map<string, Set<string>>();
  readonly #cpusOfTeam = new Map<string, number>();
  readonly #startsOfTeam = new Map<string, number>();

  constructor(
    private readonly now: () => number,
    private readonly limitOf: (team: string) => number,
  ) {}

  /** Enters an event with the time at which it came. */
  record(event: string, fields: Record<string, unknown> = {}): void {
    this.events.push({ atMs: Math.round(this.now()), event, ...fields });
  }

  /** A worker starts a task: enters and checks it. */
  began(worker: string, task: string, imageAtHand: boolean): void {
    const job = this.jobs.get(jobIdOfTask(task));
    const machines = this.#machinesOf.get(task) ?? new Set();
    this.#machinesOf.set(task, machines);
    if (machines.size > 0) this.violations.push(`ran_twice ${task}`);
    machines.add(worker);
    this.starts++;
    if (imageAtHand) this.imagesAtHand++;
    if (job === undefined) {
      this.violations.push(`invented ${task}`);
      return;
    }
    job.startedAt ??= this.now();
    this.#startsOfTeam.set(job.team, (this.#startsOfTeam.get(job.team) ?? 0) + 1);
    const cpus = (this.#cpusOfTeam.get(job.team) ?? 0) + job.cpus;
    this.#cpusOfTeam.set(job.team, cpus);
    if (cpus > this.limitOf(job.team)) this.violations.push(`quota ${job.team} ${cpus}`);
  }

  /** A task leaves a worker. */
  left(worker: string, task: string): void {
    if (this.#machinesOf.get(task)?.delete(worker) !== true) return;
    const job = this.jobs.get(jobIdOfTask(task));
    if (job !== undefined)
      this.#cpusOfTeam.set(job.team, (this.#cpusOfTeam.get(job.team) ?? 0) - job.cpus);
  }

  /** How many tasks of a team started. */
  startsOf(team: string): number {
    return this.#startsOfTeam.get(team) ?? 0;
  }

  /** Waiting times of each team's jobs submitted within a window, from submission to first start. */
  waits(fromMs: number, untilMs: number): Readonly<Record<string, Waits>> {
    const byTeam = new Map<string, JobHistory[]>();
    for (const job of this.jobs.values()) {
      if (job.submittedAt < fromMs || job.submittedAt >= untilMs) continue;
      byTeam.set(job.team, [...(byTeam.get(job.team) ?? []), job]);
    }
    return Object.fromEntries(
      [...byTeam].sort().map(([team, jobs]) => [team, this.#quantiles(jobs)]),
    );
  }

  #quantiles(jobs: readonly JobHistory[]): Waits {
    const histogram = build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });
    // A job without a start has waited until now, at the least.
    for (const job of jobs)
      histogram.recordValue(Math.round((job.startedAt ?? this.now()) - job.submittedAt));
    const valueAt = (percentile: number): number => histogram.getValueAtPercentile(percentile);
    return {
      jobs: jobs.length,
      unstarted: jobs.filter((job) => job.startedAt === undefined).length,
      p50: valueAt(50),
      p90: valueAt(90),
      p99: valueAt(99),
      max: histogram.maxValue,
    };
  }
}
