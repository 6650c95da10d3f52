/**
 * Process pauses of controllers: until it resumes, a paused controller handles no response, request
 * or periodic task, while time goes on.
 */

/** The paused controllers by index, each with the callbacks that wait for it to resume. */
export class ProcessPauses {
  readonly #waiting = new Map<number, (() => void)[]>();

  /** Whether a controller is paused. */
  isPaused(controller: number): boolean {
    return this.#waiting.has(controller);
  }

  /** Pauses a controller until `resume`. */
  pause(controller: number): void {
    this.#waiting.set(controller, []);
  }

  /** Resumes a controller and its waiting callbacks, in order of arrival. */
  resume(controller: number): void {
    const waiting = this.#waiting.get(controller) ?? [];
    this.#waiting.delete(controller);
    for (const resumeWaiter of waiting) resumeWaiter();
  }

  /** Resolves at once if the controller runs, else when it resumes. */
  waitUntilRunning(controller: number): Promise<void> {
    const waiting = this.#waiting.get(controller);
    if (waiting === undefined) return Promise.resolve();
    return new Promise((resolve) => waiting.push(resolve));
  }
}
