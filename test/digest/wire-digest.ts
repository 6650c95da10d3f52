/**
 * A hash of all calls and replies on the simulated network: caller, target, method, path, body
 * bytes and simulated time. Two days with the same digest made the same calls at the same times.
 */
import { createHash } from "node:crypto";
import type { WireCall, WireObserver, WireReply } from "../sim/wire.js";

const HASH_DIGITS = 16;
const EMPTY_BODY = new Uint8Array();

/** Hashes all calls and replies in the order in which they occur. */
export class WireDigest implements WireObserver {
  /** Number of calls sent so far. */
  callCount = 0;
  readonly #hash = createHash("sha256");

  /** Adds a call to the hash. */
  sent(at: number, call: WireCall): void {
    this.callCount++;
    const { number, caller, target, method, path } = call;
    this.#add([at, number, caller, target, method, path], call.body);
  }

  /** Adds a call's reply, or its loss, to the hash. */
  replied(at: number, call: WireCall, reply: WireReply): void {
    if (reply.kind === "lost") this.#add([at, call.number, "lost"], undefined);
    else this.#add([at, call.number, reply.status], reply.body);
  }

  /** Finishes the hash and returns its first digits in hexadecimal. Must be called only once. */
  finish(): string {
    return this.#hash.digest("hex").slice(0, HASH_DIGITS);
  }

  /**
   * Each entry's header ends with the body's length, so that two different sequences of entries
   * can't produce the same bytes.
   */
  #add(header: readonly (string | number)[], body: Uint8Array | undefined): void {
    this.#hash.update(`${JSON.stringify([...header, body?.length ?? null])}\n`);
    this.#hash.update(body ?? EMPTY_BODY);
  }
}
