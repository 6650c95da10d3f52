/**
 * Writes the calls and replies of a day as text, to find the first call that differs between two
 * versions of the code. Owns the open file until `close`.
 */
import { closeSync, mkdirSync, openSync, writeSync } from "node:fs";
import path from "node:path";
import { decode } from "../../src/protocol/cbor.js";
import { decodePeerMessage } from "../../src/protocol/peer.js";
import type { WireCall, WireObserver, WireReply } from "../sim/wire.js";

/** Number of lines that are buffered before they are written to the file. */
const MAX_BUFFERED_LINES = 2000;
const PEER_PATH = "/peer";

/**
 * Converts a value to JSON types: bytes to `h'…'` in hexadecimal, large integers to text with `n`.
 */
const toJsonValue = (value: unknown): unknown => {
  if (typeof value === "bigint") return `${value}n`;
  if (value instanceof Uint8Array) return `h'${Buffer.from(value).toString("hex")}'`;
  if (Array.isArray(value)) return value.map(toJsonValue);
  if (value instanceof Map) return [...value].map(toJsonValue);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, member]) => [key, toJsonValue(member)]),
  );
};

const bodyText = (
  bytes: Uint8Array | undefined,
  decodeBytes: (bytes: Uint8Array) => unknown,
): string =>
  bytes === undefined || bytes.length === 0 ? "-" : JSON.stringify(toJsonValue(decodeBytes(bytes)));

/** Writes one line for each call sent and one for its reply or loss, in order of simulated time. */
export class WireTrace implements WireObserver {
  readonly #file: number;
  #bufferedLines: string[] = [];

  constructor(directory: string, dayName: string) {
    mkdirSync(directory, { recursive: true });
    this.#file = openSync(path.join(directory, `${dayName}.txt`), "w");
  }

  /** Writes a call. */
  sent(at: number, call: WireCall): void {
    const body = bodyText(call.body, call.path === PEER_PATH ? decodePeerMessage : decode);
    this.#write(at, call, `sent ${body}`);
  }

  /** Writes a call's reply or its loss. */
  replied(at: number, call: WireCall, reply: WireReply): void {
    const { kind } = reply;
    this.#write(
      at,
      call,
      kind === "lost" ? "lost" : `${reply.status} ${bodyText(reply.body, decode)}`,
    );
  }

  /** Writes the buffered lines and closes the file. */
  close(): void {
    this.#flush();
    closeSync(this.#file);
  }

  #write(at: number, call: WireCall, description: string): void {
    const { number, caller, target, method } = call;
    this.#bufferedLines.push(
      `${at} #${number} ${caller} > ${target} ${method} ${call.path} ${description}\n`,
    );
    if (this.#bufferedLines.length >= MAX_BUFFERED_LINES) this.#flush();
  }

  #flush(): void {
    writeSync(this.#file, this.#bufferedLines.join(""));
    this.#bufferedLines = [];
  }
}
