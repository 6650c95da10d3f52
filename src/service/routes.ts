import type { Cancellations } from "../coordination/cancellation/cancellations.js";
import type { ControllerContext } from "../coordination/context.js";
import type { Leader } from "../coordination/fleet/leader.js";
import type { Membership } from "../coordination/membership/membership.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import { decodePeerMessage, type PeerMessage } from "../protocol/peer.js";
import {
  decodeBody,
  type HttpRequest,
  type HttpResponse,
  type RequestHandler,
} from "../transport/server.js";
import type { UserApi } from "./user-api.js";

/** Whether the state service serves the controller that is asked. */
export const SERVED_PATH = "/served";
/** Whether the controller that is asked receives its machines' heartbeats. */
export const HEARTBEATS_PATH = "/hears";
const PEER_PATH = "/peer";
const WORKER_PATH = "/agent/beat";

/** What requests are handed to. */
export interface Parts {
  readonly ctx: ControllerContext;
  readonly membership: Membership;
  readonly owner: ShardOwner;
  readonly leader: Leader;
  readonly cancels: Cancellations;
  readonly users: UserApi;
  /** Has a round run soon. */
  readonly wake: () => void;
}

const METHOD_NOT_ALLOWED: HttpResponse = { status: 405 };

/** Requests of users, workers and the load balancer. */
export const frontHandler = ({ owner, leader, users }: Parts): RequestHandler => {
  const heartbeat = (bytes: Buffer): HttpResponse => {
    const body = decodeBody(bytes);
    if (!body.ok) return { status: 400, body: { error: "not CBOR" } };
    return owner.handleHeartbeat(body.value, (report) => leader.adoptMachine(report));
  };
  const job = (method: string, id: string, action: string | undefined) => {
    if (action === undefined) return method === "GET" ? users.getStatus(id) : METHOD_NOT_ALLOWED;
    return method === "POST" ? users.cancel(id) : METHOD_NOT_ALLOWED;
  };
  return ({ method, path, bytes }) => {
    if (path === WORKER_PATH) return method === "POST" ? heartbeat(bytes) : METHOD_NOT_ALLOWED;
    if (path === "/ready") return method === "GET" ? users.readiness() : METHOD_NOT_ALLOWED;
    if (path === "/work") return method === "POST" ? users.submit(bytes) : METHOD_NOT_ALLOWED;
    const [, root, id, action, ...more] = path.split("/");
    const known = action === undefined || action === "withdraw";
    if (root !== "work" || id === undefined || !known || more.length > 0)
      return { status: 404, body: { error: "unknown path" } };
    return job(method, id, action);
  };
};

/** Requests of the other controllers. */
export const peerHandler = (parts: Parts): RequestHandler => {
  const { ctx, membership, owner } = parts;
  const heartbeats = (): HttpResponse => {
    const known = ctx.synced && membership.holdsValidLease();
    const received = known ? owner.channel.receivesHeartbeats() : undefined;
    if (received === undefined) return { status: 404 };
    return { status: received ? 204 : 503 };
  };
  return (request) => {
    if (request.path === SERVED_PATH)
      return { status: ctx.synced && !ctx.store.isFailing() ? 204 : 503 };
    if (request.path === HEARTBEATS_PATH) return heartbeats();
    if (request.path !== PEER_PATH) return { status: 404 };
    return request.method === "POST" ? peerMessage(parts, request) : METHOD_NOT_ALLOWED;
  };
};

const peerMessage = (parts: Parts, { bytes }: HttpRequest): HttpResponse => {
  let message: PeerMessage;
  try {
    message = decodePeerMessage(bytes);
  } catch {
    parts.ctx.log.info("malformed peer message", {});
    return { status: 400 };
  }
  const { ctx, owner, leader, cancels, wake } = parts;
  for (const move of message.moves) owner.requestTransfer(move);
  for (const id of message.retire) owner.requestDecommission(id, message.reason);
  // Not yet knowing what it owns, it could not say that it will see to it.
  if (message.cancelled.length > 0 && !ctx.synced) return { status: 503 };
  cancels.receiveNotices(message.cancelled);
  leader.recordFailingJobs(message.failing);
  wake();
  return { status: 204 };
};
