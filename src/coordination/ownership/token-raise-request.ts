/**
 * Whether a task waits for the fencing token of a machine to be raised. That is the case if the
 * worker still lists an ended attempt of the task that can't be forgotten under the current token,
 * and no other machine has capacity for the task.
 */

/** The token raise request of one machine. */
export class TokenRaiseRequest {
  #pending = false;

  /** A higher token is wanted. */
  get isPending(): boolean {
    return this.#pending;
  }

  /** Requests a higher token. */
  request(): void {
    this.#pending = true;
  }

  /** The token is being raised, or nothing depends on a higher one any more. */
  clear(): void {
    this.#pending = false;
  }
}
