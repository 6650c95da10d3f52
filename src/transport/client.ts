/**
 * Calls to other hosts: the interface that all modules use, and its implementation over HTTP.
 *
 * A client serves one kind of host (state store, cloud, workers, peers). It owns the connections to
 * these hosts and the queue of calls that wait for a free slot. Invariants: at most `maxInFlight`
 * calls are in flight, and no byte of a queued call has been sent.
 */
import { decode, encode } from "../protocol/cbor.js";
import { BoundedAgent } from "./bounded-agent.js";
import type { CallResult } from "./call-result.js";
import { exchange, type OutgoingRequest } from "./exchange.js";

export type { CallResult } from "./call-result.js";

/** Calls to other hosts, over HTTP or, in tests, over a simulated network. No call rejects. */
export interface HttpClient {
  /** Encodes the body and decodes that of the answer; if decoding fails, the result is `lost`. */
  readonly call: (
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<CallResult>;
  /** Sends the payload unchanged and returns the body of the answer as bytes. */
  readonly callRaw: (
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ) => Promise<CallResult>;
  /** Closes all connections; calls in flight end as `lost`. */
  readonly close: () => void;
}

/** A queued call, started when another call ends. */
interface WaitingCall {
  start: () => void;
}

const decodedAnswer = (result: CallResult): CallResult => {
  if (result.kind !== "answer" || result.body === undefined) return result;
  try {
    return { ...result, body: decode(result.body as Buffer) };
  } catch {
    // An unreadable answer doesn't show whether the other host executed the request.
    return { kind: "lost" };
  }
};

/** Keep-alive calls to one kind of host, limited so that no kind uses up all sockets. */
export class PooledHttpClient implements HttpClient {
  readonly #agent: BoundedAgent;
  /** In first-in, first-out order. */
  readonly #waitingCalls = new Set<WaitingCall>();
  #inFlightCount = 0;

  constructor(
    maxConnectionsPerHost: number,
    private readonly maxInFlight: number,
    maxIdleConnections = maxInFlight,
  ) {
    this.#agent = new BoundedAgent(maxConnectionsPerHost, maxIdleConnections);
  }

  /** The number of idle keep-alive connections. */
  get idleConnectionCount(): number {
    return this.#agent.idleConnectionCount;
  }

  /** See `HttpClient`. */
  call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<CallResult> {
    const payload = body === undefined ? undefined : encode(body);
    return this.callRaw(address, method, path, payload, timeoutMs).then(decodedAnswer);
  }

  /** See `HttpClient`. A call still queued after the timeout ends as `unsent`, with `isLocal`. */
  callRaw(
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ): Promise<CallResult> {
    const request = { address, method, path, payload, timeoutMs };
    return new Promise((resolve) => {
      if (this.#inFlightCount < this.maxInFlight) this.#send(request, resolve);
      else this.#enqueue(request, resolve);
    });
  }

  /** See `HttpClient`. */
  close(): void {
    this.#agent.destroy();
  }

  #send(request: OutgoingRequest, resolve: (result: CallResult) => void): void {
    this.#inFlightCount++;
    // No rejection handler: a failed exchange is reported as a result.
    exchange(this.#agent, request).then((result) => {
      this.#inFlightCount--;
      resolve(result);
      this.#startNext();
    });
  }

  /** Queues a call for at most its timeout. Once it is sent, the full timeout applies again. */
  #enqueue(request: OutgoingRequest, resolve: (result: CallResult) => void): void {
    const waiting: WaitingCall = { start: () => undefined };
    const timer = setTimeout(() => {
      this.#waitingCalls.delete(waiting);
      resolve({ kind: "unsent", isLocal: true });
    }, request.timeoutMs);
    waiting.start = () => {
      clearTimeout(timer);
      this.#send(request, resolve);
    };
    this.#waitingCalls.add(waiting);
  }

  #startNext(): void {
    const [next] = this.#waitingCalls;
    if (next === undefined) return;
    this.#waitingCalls.delete(next);
    next.start();
  }
}
