/**
 * The calls of a day as text, for finding the first that differs between two versions of the code.
 * Owns the open file until `end`.
 */
import { closeSync, mkdirSync, openSync, writeSync } from "node:fs";
import path from "node:path";
import { decode } from "../../src/protocol/cbor.js";
import { decodePeerMessage } from "../../src/protocol/peer.js";
import type { WireCall, WireObserver, WireReply } from "../sim/wire.js";

const CHUNK_LINES = 2000;
const PEER_PATH = "/peer";

/** A value as JSON can hold it: bytes in hexadecimal, large integers with an `n`. */
const plain = (value: unknown): unknown => {
  if (typeof value === "bigint") return `${value}n`;
  if (value instanceof Uint8Array) return `h'${Buffer.from(value).toString("hex")}'`;
  if (Array.isArray(value)) return value.map(plain);
  if (value instanceof Map) return [...value].map(plain);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(Object.entries(value).map(([key, member]) => [key, plain(member)]));
};

const asText = (bytes: Uint8Array | undefined, read: (bytes: Uint8Array) => unknown): string =>
  bytes === undefined || bytes.length === 0 ? "-" : JSON.stringify(plain(read(bytes)));

/** Writes a line for each call as it is sent and one as it is answered, in order of time. */
export class WireTrace implements WireObserver {
  readonly #file: number;
  #lines: string[] = [];

  constructor(directory: string, dayName: string) {
    mkdirSync(directory, { recursive: true });
    this.#file = openSync(path.join(directory, `${dayName}.txt`), "w");
  }

  /** Writes a call. */
  sent(at: number, call: WireCall): void {
    const body = asText(call.body, call.path === PEER_PATH ? decodePeerMessage : decode);
    this.#write(at, call, `sent ${body}`);
  }

  /** Writes what became of a call. */
  replied(at: number, call: WireCall, reply: WireReply): void {
    const { kind } = reply;
    this.#write(
      at,
      call,
      kind === "lost" ? "lost" : `${reply.status} ${asText(reply.body, decode)}`,
    );
  }

  /** Writes what is left and closes the file. */
  end(): void {
    this.#flush();
    closeSync(this.#file);
  }

  #write(at: number, call: WireCall, what: string): void {
    const { number, caller, target, method } = call;
    this.#lines.push(`${at} #${number} ${caller} > ${target} ${method} ${call.path} ${what}\n`);
    if (this.#lines.length >= CHUNK_LINES) this.#flush();
  }

  #flush(): void {
    writeSync(this.#file, this.#lines.join(""));
    this.#lines = [];
  }
}
