/**
 * Node's connection pool with a bound on idle connections over all hosts.
 *
 * Node's own bound is for each host. Machines come and go by the hundred, and those gone never close
 * their connections, which took up all the sockets of their kind: calls to new machines never went
 * out. Invariant: `#idle` holds just the connections that are kept without a request on them.
 */
import http from "node:http";
import type { Duplex } from "node:stream";

/** Keeps connections alive; past the bound the one that was idle for longest is closed. */
export class BoundedAgent extends http.Agent {
  /** In the order in which they became idle. */
  readonly #idle = new Set<Duplex>();
  /** Those whose closing is already listened to. */
  readonly #watched = new WeakSet<Duplex>();

  constructor(
    maxPerHost: number,
    private readonly maxIdle: number,
  ) {
    super({ keepAlive: true, maxSockets: maxPerHost, scheduling: "lifo" });
  }

  /** How many connections are kept idle. */
  get idle(): number {
    return this.#idle.size;
  }

  /** Called by Node when a request has ended: whether to keep its connection. */
  override keepSocketAlive(socket: Duplex): boolean {
    // The declared result is nothing; it is what tells the agent whether to keep the socket.
    const keep = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keep) return false;
    if (!this.#watched.has(socket)) {
      this.#watched.add(socket);
      socket.once("close", () => this.#idle.delete(socket));
    }
    this.#idle.add(socket);
    if (this.#idle.size > this.maxIdle) this.#closeOldest();
    return true;
  }

  /** Called by Node when an idle connection gets a request. */
  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    this.#idle.delete(socket);
    super.reuseSocket(socket, request);
  }

  #closeOldest(): void {
    const [oldest] = this.#idle;
    if (oldest === undefined) return;
    this.#idle.delete(oldest);
    oldest.destroy();
  }
}
