/**
 * Which task runs on which machines, as reported by the workers. The service's responses are
 * checked against this record, so nothing that a controller reports is entered here.
 */

import type { FakeWorker } from "./fakes/worker.js";
import { jobIdOfTask } from "./task-names.js";
import type { UserJob } from "./user-job.js";

/** The record of task starts, of the machines that run each task, and of each team's processors. */
export class RunningTasks {
  /** The tasks of all starts of the day, in order. */
  readonly starts: string[] = [];
  /** The machines that run each task, for all tasks that were ever started. */
  readonly machinesOf = new Map<string, Set<FakeWorker>>();
  readonly #finished = new Set<string>();
  readonly #cpusOfTeam = new Map<string, number>();

  /** Records a start on a machine; returns whether the task was already running on any. */
  recordStart(task: string, worker: FakeWorker): boolean {
    const machines = this.machinesOf.get(task) ?? new Set();
    this.machinesOf.set(task, machines);
    this.starts.push(task);
    const wasRunning = machines.size > 0;
    machines.add(worker);
    return wasRunning;
  }

  /** Records the end of a task on a machine; returns whether the task was running on it. */
  recordEnd(task: string, worker: FakeWorker, done: boolean): boolean {
    if (this.machinesOf.get(task)?.delete(worker) !== true) return false;
    if (done) this.#finished.add(task);
    return true;
  }

  /** Whether a task was started before its current start, which is already recorded. */
  wasStartedBefore(task: string): boolean {
    return this.starts.filter((start) => start === task).length > 1;
  }

  /** Whether all tasks of a job ended without an error. */
  areAllFinished(job: UserJob): boolean {
    const tasks = Array.from({ length: Number(job.spec.threads) }, (_, i) => `${job.id}/${i}`);
    return tasks.every((task) => this.#finished.has(task));
  }

  /** Returns how many of a job's tasks were ever started. */
  countStartedTasks(jobId: string): number {
    return new Set(this.starts.filter((task) => task.startsWith(`${jobId}/`))).size;
  }

  /** Yields the machines that run tasks of a job, once for each running task. */
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

  /** Returns the first machines, at most `limit`, that run tasks of these jobs. */
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
