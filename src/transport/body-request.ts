/**
 * A request of Node's HTTP server whose body is gathered as the parser delivers it. The stream that
 * Node would put between costs three more turns of the queue for each heartbeat.
 *
 * Invariant: `onBody` is called at most once, and nothing is ever left in a stream.
 */
import http from "node:http";

/** The protocol's bound on a request body. */
export const MAX_BODY_BYTES = 64 * 1024;

/** Stands in for Node's own class: see `IncomingMessage` in the options of `http.createServer`. */
export class BodyRequest extends http.IncomingMessage {
  #chunks: Buffer[] = [];
  #size = 0;
  /** Called once with the whole body, or with undefined once it is over `MAX_BODY_BYTES`. */
  onBody: ((bytes: Buffer | undefined) => void) | undefined;

  /** Called by Node's parser with each piece of the body, and with null at its end. */
  override push(chunk: Buffer | null): boolean {
    if (chunk === null) {
      const [first] = this.#chunks;
      this.#deliver(this.#chunks.length === 1 ? first : Buffer.concat(this.#chunks));
      return false;
    }
    this.#size += chunk.length;
    if (this.#size > MAX_BODY_BYTES) this.#deliver(undefined);
    else this.#chunks.push(chunk);
    return true;
  }

  #deliver(bytes: Buffer | undefined): void {
    const { onBody } = this;
    this.onBody = undefined;
    this.#chunks = [];
    onBody?.(bytes);
  }
}

/** What Node's server asks of a request before it lets go of it: nothing is left in a stream. */
Object.defineProperties(BodyRequest.prototype, {
  readableEnded: {
    get(this: BodyRequest): boolean {
      return this.complete;
    },
  },
  _consumed: { value: true, writable: true },
});
