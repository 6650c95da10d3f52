/**
 * Room that is kept on machines for tasks that move there or that others were preempted for. Until
 * the task starts, it counts as use of its destination (the paper's eq. 18).
 */
import type { MachineId, MonotonicMs, TaskId } from "@umberfold/ids";

/** Room kept on a machine. */
export interface Reservation {
  readonly machine: MachineId;
  /** When it expires, whether the task has started or not. */
  readonly expiresAt: MonotonicMs;
}

/** The reservations of one owner, at most one for a task; iterated in the order they were made. */
export class Reservations {
  readonly #byTask = new Map<TaskId, Reservation>();

  /** Whether room is kept for the task. */
  has(task: TaskId): boolean {
    return this.#byTask.has(task);
  }

  /** The room that is kept for the task, if any. */
  get(task: TaskId): Reservation | undefined {
    return this.#byTask.get(task);
  }

  /** Keeps room for a task, in place of what was kept for it before. */
  set(task: TaskId, reservation: Reservation): void {
    this.#byTask.set(task, reservation);
  }

  /** The task has started there, or its reservation isn't needed any more. */
  delete(task: TaskId): void {
    this.#byTask.delete(task);
  }

  /** Drops all that have expired. */
  deleteExpired(now: MonotonicMs): void {
    for (const [task, { expiresAt }] of this.#byTask)
      if (expiresAt <= now) this.#byTask.delete(task);
  }

  /** All reservations with their tasks. */
  [Symbol.iterator](): Iterator<readonly [TaskId, Reservation]> {
    return this.#byTask.entries();
  }
}
