/**
 * Divides the sockets of a process among the kinds of connections.
 *
 * The sum of all counts stays below the process's socket limit, so that no kind can use the sockets
 * of another. Once a process has reached its limit, every new connection fails, including those to
 * the state store.
 */

/** The maximum number of sockets of each kind. */
export interface SocketBudget {
  /** Accepted connections of users, workers and health checks. */
  readonly front: number;
  /** Listen backlog of the front server; connections not yet accepted also occupy sockets. */
  readonly frontBacklog: number;
  /** Accepted connections of other controllers. */
  readonly internal: number;
  /** Connections to the state store. */
  readonly stateStore: number;
  /** Connections to the cloud. */
  readonly cloud: number;
  /** Connections to other controllers. */
  readonly peers: number;
  /** Calls to workers in flight. */
  readonly workerCalls: number;
  /** Idle keep-alive connections to workers. */
  readonly idleWorkerConnections: number;
}

const MAX_STATE_STORE_SOCKETS = 24;
const STATE_STORE_FRACTION = 0.1;
const CLOUD_SOCKETS = 4;
const MAX_WORKER_CALLS = 96;
const WORKER_CALLS_FRACTION = 0.08;
const IDLE_WORKER_CONNECTIONS_FRACTION = 0.05;
const FRONT_BACKLOG_FRACTION = 0.08;
/** Listening sockets and connections being closed or rejected also count towards the limit. */
const BASE_RESERVED_SOCKETS = 8;
const RESERVED_FRACTION = 0.04;
const OUTGOING_SOCKETS_PER_CONTROLLER = 2;
/** Doubled: a restarted controller's old connections may still be open beside its new ones. */
const INCOMING_SOCKETS_PER_CONTROLLER = 2 * OUTGOING_SOCKETS_PER_CONTROLLER;
/** With fewer sockets, a kind of connection can't work. */
const MIN_SOCKETS_PER_KIND = 4;
const BASE_MIN_SOCKETS = 96;
const MIN_SOCKETS_PER_CONTROLLER = 16;

/** The smallest socket limit that leaves enough sockets for every kind of connection. */
export const minSockets = (controllerCount: number): number =>
  BASE_MIN_SOCKETS + MIN_SOCKETS_PER_CONTROLLER * controllerCount;

/**
 * Divides the socket limit among the kinds of connections.
 *
 * @param maxSockets the process's socket limit
 * @param controllerCount the number of controllers in the deployment, this one included
 */
export const divideSockets = (maxSockets: number, controllerCount: number): SocketBudget => {
  const fractionOfLimit = (fraction: number): number =>
    Math.max(MIN_SOCKETS_PER_KIND, Math.floor(maxSockets * fraction));
  const stateStore = Math.min(MAX_STATE_STORE_SOCKETS, fractionOfLimit(STATE_STORE_FRACTION));
  const workerCalls = Math.min(MAX_WORKER_CALLS, fractionOfLimit(WORKER_CALLS_FRACTION));
  const idleWorkerConnections = fractionOfLimit(IDLE_WORKER_CONNECTIONS_FRACTION);
  const peers = OUTGOING_SOCKETS_PER_CONTROLLER * controllerCount;
  const internal = INCOMING_SOCKETS_PER_CONTROLLER * controllerCount;
  const reserved = BASE_RESERVED_SOCKETS + fractionOfLimit(RESERVED_FRACTION);
  const frontBacklog = fractionOfLimit(FRONT_BACKLOG_FRACTION);
  // `internal` counts twice: accepted connections, and a listen backlog of the same size.
  const others =
    stateStore +
    CLOUD_SOCKETS +
    peers +
    2 * internal +
    workerCalls +
    idleWorkerConnections +
    reserved +
    frontBacklog;
  const front = Math.max(MIN_SOCKETS_PER_KIND, maxSockets - others);
  return {
    front,
    frontBacklog,
    internal,
    stateStore,
    cloud: CLOUD_SOCKETS,
    peers,
    workerCalls,
    idleWorkerConnections,
  };
};
