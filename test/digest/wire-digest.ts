/**
 * A hash of all that crosses the simulated wire: caller, target, method, path, body bytes and the
 * simulated time of each call and reply. Two days with the same digest made the same calls.
 */
import { createHash } from "node:crypto";
import type { WireCall, WireObserver, WireReply } from "../sim/wire.js";

const HASH_DIGITS = 16;
const NOTHING = new Uint8Array();

/** Hashes all that crosses the wire, in order. */
export class WireDigest implements WireObserver {
  /** Calls that were sent so far. */
  calls = 0;
  readonly #hash = createHash("sha256");

  /** Adds a call. */
  sent(at: number, call: WireCall): void {
    this.calls++;
    const { number, caller, target, method, path } = call;
    this.#add([at, number, caller, target, method, path], call.body);
  }

  /** Adds what became of a call. */
  replied(at: number, call: WireCall, reply: WireReply): void {
    if (reply.kind === "lost") this.#add([at, call.number, "lost"], undefined);
    else this.#add([at, call.number, reply.status], reply.body);
  }

  /** The start of the hash, in hexadecimal. Ends it. */
  end(): string {
    return this.#hash.digest("hex").slice(0, HASH_DIGITS);
  }

  /** The head is closed by the body's length, so that no two histories give the same bytes. */
  #add(head: readonly (string | number)[], body: Uint8Array | undefined): void {
    this.#hash.update(`${JSON.stringify([...head, body?.length ?? null])}\n`);
    this.#hash.update(body ?? NOTHING);
  }
}
