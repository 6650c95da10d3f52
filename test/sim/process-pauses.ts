/**
 * Process pauses of controllers: a paused controller takes up no answer, request or periodic task
 * until it resumes, while all clocks run on.
 */

/** Which controllers are paused, by their indexes, and what waits for them to resume. */
export class ProcessPauses {
  readonly #waiting = new Map<number, (() => void)[]>();

  /** Whether this controller is paused. */
  isPaused(controller: number): boolean {
    return this.#waiting.has(controller);
  }

  /** Pauses a controller until `resume`. */
  pause(controller: number): void {
    this.#waiting.set(controller, []);
  }

  /** Lets a controller go on, with what waited in the order in which it came. */
  resume(controller: number): void {
    const waiting = this.#waiting.get(controller) ?? [];
    this.#waiting.delete(controller);
    for (const goOn of waiting) goOn();
  }

  /** Resolves at once, or when the controller resumes. */
  whenRunning(controller: number): Promise<void> {
    const waiting = this.#waiting.get(controller);
    if (waiting === undefined) return Promise.resolve();
    return new Promise((resolve) => waiting.push(resolve));
  }
}
