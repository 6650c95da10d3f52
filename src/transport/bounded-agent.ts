/**
 * Node's connection pool with a limit on idle connections over all hosts.
 *
 * Node only limits them per host. Machines come and go by the hundred, and machines that are gone
 * never close their connections. Without this limit, such connections used up all sockets for
 * workers, and calls to new machines were never sent.
 *
 * Invariant: `#idleConnections` holds exactly the kept connections that have no request in flight.
 */
import http from "node:http";
import type { Duplex } from "node:stream";

/** Keeps connections alive; above the limit it closes the one that has been idle longest. */
export class BoundedAgent extends http.Agent {
  /** In the order in which they became idle. */
  readonly #idleConnections = new Set<Duplex>();
  /** Connections that already have a listener for their `close` event. */
  readonly #withCloseListener = new WeakSet<Duplex>();

  constructor(
    maxConnectionsPerHost: number,
    private readonly maxIdleConnections: number,
  ) {
    super({ keepAlive: true, maxSockets: maxConnectionsPerHost, scheduling: "lifo" });
  }

  /** The number of idle keep-alive connections. */
  get idleConnectionCount(): number {
    return this.#idleConnections.size;
  }

  /** Called by Node when a request has ended; returns whether to keep its connection open. */
  override keepSocketAlive(socket: Duplex): boolean {
    // Typed as void, but Node's agent returns a boolean: whether to keep the socket.
    const keep = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keep) return false;
    if (!this.#withCloseListener.has(socket)) {
      this.#withCloseListener.add(socket);
      socket.once("close", () => this.#idleConnections.delete(socket));
    }
    this.#idleConnections.add(socket);
    if (this.#idleConnections.size > this.maxIdleConnections) this.#closeLongestIdle();
    return true;
  }

  /** Called by Node when it assigns a request to an idle connection. */
  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    this.#idleConnections.delete(socket);
    super.reuseSocket(socket, request);
  }

  #closeLongestIdle(): void {
    const [oldest] = this.#idleConnections;
    if (oldest === undefined) return;
    this.#idleConnections.delete(oldest);
    oldest.destroy();
  }
}
