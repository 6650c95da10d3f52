/**
 * A request of Node's HTTP server that collects its body directly from the HTTP parser. Reading the
 * body through Node's stream would take three more turns of the callback queue for each heartbeat.
 *
 * Invariant: `onBody` is called at most once, and the stream's buffer stays empty.
 */
import http from "node:http";

/** The largest request body that the protocol allows. */
export const MAX_BODY_BYTES = 64 * 1024;

/** Replaces Node's class through the option `IncomingMessage` of `http.createServer`. */
export class BodyRequest extends http.IncomingMessage {
  #chunks: Buffer[] = [];
  #receivedBytes = 0;
  /** Called once: with the complete body, or with undefined if it exceeds `MAX_BODY_BYTES`. */
  onBody: ((bytes: Buffer | undefined) => void) | undefined;

  /** Called by Node's parser with each chunk of the body, and with null at its end. */
  override push(chunk: Buffer | null): boolean {
    if (chunk === null) {
      const [first] = this.#chunks;
      this.#deliver(this.#chunks.length === 1 ? first : Buffer.concat(this.#chunks));
      return false;
    }
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > MAX_BODY_BYTES) this.#deliver(undefined);
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

/** Node's server reads these before it releases a request: its stream holds no unread data. */
Object.defineProperties(BodyRequest.prototype, {
  readableEnded: {
    get(this: BodyRequest): boolean {
      return this.complete;
    },
  },
  _consumed: { value: true, writable: true },
});
