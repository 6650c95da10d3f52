/**
 * Which task runs on which machines, by what the workers themselves do: the truth against which
 * the service's answers are checked. Nothing that a controller believes enters here.
 */

import type { FakeWorker } from "./fakes/worker.js";
import { jobIdOfTask } from "./task-names.js";
import type { UserJob } from "./user-job.js";

/** Owns the record of starts, of what runs where, and of the processors that teams use. */
export class RunningTasks {
  /** Each start of the day, in order. */
  readonly starts: string[] = [];
  /** Tasks that were ever started, with the machines on which they are. */
  readonly machinesOf = new Map<string, Set<FakeWorker>>();
  readonly #finished = new Set<string>();
  readonly #cpusOfTeam = new Map<string, number>();

  /** A task starts on a machine. Returns whether it was running on any already. */
  recordStart(task: string, worker: FakeWorker): boolean {
    const machines = this.machinesOf.get(task) ?? new Set();
    this.machinesOf.set(task, machines);
    this.starts.push(task);
    const wasRunning = machines.size > 0;
    machines.add(worker);
    return wasRunning;
  }

  /** A task leaves a machine. Returns whether it was there. */
  recordEnd(task: string, worker: FakeWorker, done: boolean): boolean {
    if (this.machinesOf.get(task)?.delete(worker) !== true) return false;
    if (done) this.#finished.add(task);
    return true;
  }

  /** Whether a task started more often than once, the present start included. */
  wasStartedBefore(task: string): boolean {
    return this.starts.filter((start) => start === task).length > 1;
  }

  /** Whether all tasks of a job came to their end on some machine. */
  areAllFinished(job: UserJob): boolean {
    const tasks = Array.from({ length: Number(job.spec.threads) }, (_, i) => `${job.id}/${i}`);
    return tasks.every((task) => this.#finished.has(task));
  }

  /** How many of a job's tasks were ever started. */
  countStartedTasks(jobId: string): number {
    return new Set(this.starts.filter((task) => task.startsWith(`${jobId}/`))).size;
  }

  /** The machines that run tasks of a job, once for each task. */
  *machinesOfJob(jobId: string): Generator<FakeWorker> {
    for (const [task, machines] of this.machinesOf)
      if (task.startsWith(`${jobId}/`)) yield* machines;
  }

  /** The zones in which tasks of a job run. */
  zonesOfJob(jobId: string): ReadonlySet<string> {
    const zones = new Set<string>();
    for (const worker of this.machinesOfJob(jobId)) zones.add(worker.rented.zone);
    return zones;
  }

  /** Whether a task of a job runs anywhere. */
  isRunning(jobId: string): boolean {
    return this.zonesOfJob(jobId).size > 0;
  }

  /** The first machines, at most `limit`, on which tasks of these jobs run. */
  machinesRunning(jobIds: ReadonlySet<string>, limit: number): ReadonlySet<FakeWorker> {
    const found = new Set<FakeWorker>();
    for (const [task, machines] of this.machinesOf)
      for (const worker of machines)
        if (jobIds.has(jobIdOfTask(task)) && found.size < limit) found.add(worker);
    return found;
  }

  /** The processors that a team's tasks use. */
  cpusOfTeam(team: string): number {
    return this.#cpusOfTeam.get(team) ?? 0;
  }

  /** Changes the processors that a team's tasks use; returns the new sum. */
  addCpus(team: string, cpus: number): number {
    const sum = this.cpusOfTeam(team) + cpus;
    this.#cpusOfTeam.set(team, sum);
    return sum;
  }
}
