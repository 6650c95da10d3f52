/**
 * Whether a task waits for the fencing token of a machine to rise: an ended attempt of it is still
 * known there and can't be forgotten under the token in force, and no other machine has room.
 */

/** The request of one machine. */
export class TokenRaiseRequest {
  #pending = false;

  /** A higher token is asked for. */
  get isPending(): boolean {
    return this.#pending;
  }

  /** Asks for a higher token. */
  request(): void {
    this.#pending = true;
  }

  /** The token is being raised, or nothing depends on it any more. */
  clear(): void {
    this.#pending = false;
  }
}
