/**
 * Records the jobs, starts and events of a run as its users and workers observed them, and checks
 * the protocol rules against them.
 */
import { build } from "hdr-histogram-js";
import { jobIdOfTask } from "../sim/task-names.js";

/** One job as its user and the workers observed it; times in milliseconds since the run began. */
export interface JobHistory {
  readonly team: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly submittedAt: number;
  acceptedAt: number | undefined;
  startedAt: number | undefined;
  doneAt: number | undefined;
}

/** Times from submission to first start of a team's jobs, in milliseconds. */
export interface WaitingTimes {
  readonly jobs: number;
  readonly unstarted: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

const SIGNIFICANT_DIGITS = 3;

/** The history of one run; times are milliseconds since it began. */
export class History {
  /** All submitted jobs, by id. */
  readonly jobs = new Map<string, JobHistory>();
  /** Violations of the protocol rules; each begins with the rule's name. */
  readonly violations: string[] = [];
  /** Log events of the controllers, and their kills and exits, in order. */
  readonly events: Record<string, unknown>[] = [];
  /** Number of task starts. */
  starts = 0;
  /** Number of task starts whose image was cached on the machine. */
  cachedImageStarts = 0;
  readonly #machinesOf = new Map<string, Set<string>>();
  readonly #cpusOfTeam = new Map<string, number>();
  readonly #startsOfTeam = new Map<string, number>();

  constructor(
    private readonly now: () => number,
    private readonly limitOf: (team: string) => number,
  ) {}

  /** Records an event with the current time. */
  record(event: string, fields: Record<string, unknown> = {}): void {
    this.events.push({ atMs: Math.round(this.now()), event, ...fields });
  }

  /** Records that a worker starts a task, and checks the protocol rules. */
  recordTaskStart(worker: string, task: string, isImageCached: boolean): void {
    const job = this.jobs.get(jobIdOfTask(task));
    const machines = this.#machinesOf.get(task) ?? new Set();
    this.#machinesOf.set(task, machines);
    if (machines.size > 0) this.violations.push(`ran_twice ${task}`);
    machines.add(worker);
    this.starts++;
    if (isImageCached) this.cachedImageStarts++;
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

  /** Records that a task is no longer on a worker. */
  recordTaskEnd(worker: string, task: string): void {
    if (this.#machinesOf.get(task)?.delete(worker) !== true) return;
    const job = this.jobs.get(jobIdOfTask(task));
    if (job !== undefined)
      this.#cpusOfTeam.set(job.team, (this.#cpusOfTeam.get(job.team) ?? 0) - job.cpus);
  }

  /** Number of task starts of a team. */
  startsOf(team: string): number {
    return this.#startsOfTeam.get(team) ?? 0;
  }

  /** Waiting times of the jobs that were submitted within a time window, by team. */
  waitingTimes(fromMs: number, untilMs: number): Readonly<Record<string, WaitingTimes>> {
    const byTeam = new Map<string, JobHistory[]>();
    for (const job of this.jobs.values()) {
      if (job.submittedAt < fromMs || job.submittedAt >= untilMs) continue;
      byTeam.set(job.team, [...(byTeam.get(job.team) ?? []), job]);
    }
    return Object.fromEntries(
      [...byTeam].sort().map(([team, jobs]) => [team, this.#summarize(jobs)]),
    );
  }

  #summarize(jobs: readonly JobHistory[]): WaitingTimes {
    const histogram = build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });
    // A job that has not started yet counts with its waiting time so far.
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
