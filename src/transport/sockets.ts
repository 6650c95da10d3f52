/**
 * How a process's sockets are divided among the kinds of hosts.
 *
 * The parts add up to less than the limit, so that no kind can take what another needs: past the
 * limit every new connection fails, the state store's among them.
 */

/** Numbers of sockets, by kind. */
export interface SocketParts {
  /** Connections of users, workers and health checks that are let in. */
  readonly front: number;
  /** Connections that wait to be let in: while the process is behind they count as well. */
  readonly frontBacklog: number;
  /** Connections of other controllers that are let in. */
  readonly inner: number;
  readonly state: number;
  readonly cloud: number;
  readonly peers: number;
  /** Calls to workers at a time. */
  readonly workers: number;
  /** Connections to workers that are kept without a call on them. */
  readonly idleWorkers: number;
}

const MAX_STATE = 24;
const STATE_PART = 0.1;
const CLOUD = 4;
const MAX_WORKER_CALLS = 96;
const WORKER_CALLS_PART = 0.08;
const IDLE_WORKERS_PART = 0.05;
const BACKLOG_PART = 0.08;
/** Listening sockets, and connections that are closing or turned away: they count as well. */
const SPARE = 8;
const SPARE_PART = 0.04;
/** A restarted peer's old connections may still be there beside its new ones. */
const PER_PEER_OUT = 2;
const PER_PEER_IN = 2 * PER_PEER_OUT;
/** With fewer a kind can't do its work. */
const MIN_OF_A_KIND = 4;
const MIN_BASE = 96;
const MIN_PER_MEMBER = 16;

/** The fewest sockets with which every kind has a part worth having. */
export const minSockets = (members: number): number => MIN_BASE + MIN_PER_MEMBER * members;

/** The parts of `maxSockets` in a deployment with so many controllers, this one included. */
export const socketParts = (maxSockets: number, members: number): SocketParts => {
  const part = (share: number): number => Math.max(MIN_OF_A_KIND, Math.floor(maxSockets * share));
  const state = Math.min(MAX_STATE, part(STATE_PART));
  const workers = Math.min(MAX_WORKER_CALLS, part(WORKER_CALLS_PART));
  const idleWorkers = part(IDLE_WORKERS_PART);
  const peers = PER_PEER_OUT * members;
  const inner = PER_PEER_IN * members;
  const spare = SPARE + part(SPARE_PART);
  const frontBacklog = part(BACKLOG_PART);
  // As many may wait for the inner server as it lets in.
  const others = state + CLOUD + peers + 2 * inner + workers + idleWorkers + spare + frontBacklog;
  const front = Math.max(MIN_OF_A_KIND, maxSockets - others);
  return { front, frontBacklog, inner, state, cloud: CLOUD, peers, workers, idleWorkers };
};
