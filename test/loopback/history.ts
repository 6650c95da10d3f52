import { build } from "hdr-histogram-js";

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

export interface Waits {
  readonly jobs: number;
  readonly unstarted: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly most: number;
}

const SIGNIFICANT_DIGITS = 3;

/** What happened, by the users' and the workers' own word, and the rules checked against it. */
export class History {
  readonly jobs = new Map<string, JobHistory>();
  readonly broken: string[] = [];
  readonly events: Record<string, unknown>[] = [];
  starts = 0;
  imagesAtHand = 0;
  readonly #on = new Map<string, Set<string>>();
  readonly #cpus = new Map<string, number>();
  readonly #startsOf = new Map<string, number>();

  constructor(
    private readonly now: () => number,
    private readonly limitOf: (team: string) => number,
  ) {}

  note(event: string, fields: Record<string, unknown> = {}): void {
    this.events.push({ atMs: Math.round(this.now()), event, ...fields });
  }

  began(worker: string, task: string, imageAtHand: boolean): void {
    const job = this.jobs.get(task.slice(0, task.lastIndexOf("/")));
    const on = this.#on.get(task) ?? new Set();
    this.#on.set(task, on);
    if (on.size > 0) this.broken.push(`ran_twice ${task}`);
    on.add(worker);
    this.starts++;
    if (imageAtHand) this.imagesAtHand++;
    if (job === undefined) {
      this.broken.push(`invented ${task}`);
      return;
    }
    job.startedAt ??= this.now();
    this.#startsOf.set(job.team, (this.#startsOf.get(job.team) ?? 0) + 1);
    const cpus = (this.#cpus.get(job.team) ?? 0) + job.cpus;
    this.#cpus.set(job.team, cpus);
    if (cpus > this.limitOf(job.team)) this.broken.push(`quota ${job.team} ${cpus}`);
  }

  left(worker: string, task: string): void {
    if (this.#on.get(task)?.delete(worker) !== true) return;
    const job = this.jobs.get(task.slice(0, task.lastIndexOf("/")));
    if (job !== undefined) this.#cpus.set(job.team, (this.#cpus.get(job.team) ?? 0) - job.cpus);
  }

  startsOf(team: string): number {
    return this.#startsOf.get(team) ?? 0;
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
    const at = (percentile: number): number => histogram.getValueAtPercentile(percentile);
    return {
      jobs: jobs.length,
      unstarted: jobs.filter((job) => job.startedAt === undefined).length,
      p50: at(50),
      p90: at(90),
      p99: at(99),
      most: histogram.maxValue,
    };
  }
}
