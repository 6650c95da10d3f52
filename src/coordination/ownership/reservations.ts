/**
 * Capacity reserved on machines for tasks that move there, or for which others were preempted.
 * Until the task starts, the reservation counts as usage of its machine (the paper's eq. 18).
 */
import type { MachineId, MonotonicMs, TaskId } from "@umberfold/ids";

/** Capacity reserved on a machine for one task. */
export interface Reservation {
  readonly machine: MachineId;
  /** It expires then, even if the task hasn't started. */
  readonly expiresAt: MonotonicMs;
}

/** The reservations of one owner, at most one per task; iterated in insertion order. */
export class Reservations {
  readonly #byTask = new Map<TaskId, Reservation>();

  /** Whether the task has a reservation. */
  has(task: TaskId): boolean {
    return this.#byTask.has(task);
  }

  /** The reservation of the task, if any. */
  get(task: TaskId): Reservation | undefined {
    return this.#byTask.get(task);
  }

  /** Sets the reservation of a task, replacing an earlier one. */
  set(task: TaskId, reservation: Reservation): void {
    this.#byTask.set(task, reservation);
  }

  /** Removes the reservation of a task that has started, or that no longer needs it. */
  delete(task: TaskId): void {
    this.#byTask.delete(task);
  }

  /** Removes all reservations that have expired. */
  deleteExpired(now: MonotonicMs): void {
    for (const [task, { expiresAt }] of this.#byTask)
      if (expiresAt <= now) this.#byTask.delete(task);
  }

  /** All reservations, by task. */
  [Symbol.iterator](): Iterator<readonly [TaskId, Reservation]> {
    return this.#byTask.entries();
  }
}
