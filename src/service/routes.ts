/**
 * Which part answers which request, on the front address (users, workers, the load balancer) and on
 * the internal one (the other controllers).
 *
 * Nothing here has state. A path with another method is answered 405, an unknown path 404.
 */
import type { Cancellations } from "../coordination/cancellation/cancellations.js";
import type { ControllerContext } from "../coordination/context.js";
import type { Leader } from "../coordination/fleet/leader.js";
import type { Membership } from "../coordination/membership/membership.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import {
  decodePeerMessage,
  HEARTBEAT_RECEPTION_PATH,
  PEER_MESSAGE_PATH,
  type PeerMessage,
  STORE_AVAILABILITY_PATH,
} from "../protocol/peer.js";
import { parseUserPath } from "../protocol/user-paths.js";
import { HEARTBEAT_PATH } from "../protocol/workers.js";
import {
  decodeBody,
  type HttpRequest,
  type HttpResponse,
  type RequestHandler,
} from "../transport/server.js";
import type { UserApi } from "./user-api.js";
import { NOT_CBOR } from "./user-responses.js";

/** Whether the state store serves the controller that is asked. */
export const SERVED_PATH = STORE_AVAILABILITY_PATH;
/** Whether the controller that is asked receives its machines' heartbeats. */
export const HEARTBEATS_PATH = HEARTBEAT_RECEPTION_PATH;

/** The parts of a controller that requests are handed to. */
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
const UNKNOWN_PATH: HttpResponse = { status: 404, body: { error: "unknown path" } };

const handleHeartbeat = ({ owner, leader }: Parts, bytes: Buffer): HttpResponse => {
  const body = decodeBody(bytes);
  if (!body.ok) return NOT_CBOR;
  return owner.handleHeartbeat(body.value, (status) => leader.handleUnknownMachine(status));
};

/** The one method of each path of a user's request. */
const METHODS = {
  readiness: "GET",
  submission: "POST",
  status: "GET",
  cancellation: "POST",
} as const;

const handleUserRequest = (
  users: UserApi,
  { method, path, bytes }: HttpRequest,
): HttpResponse | Promise<HttpResponse> => {
  const target = parseUserPath(path);
  if (target.kind === "unknown") return UNKNOWN_PATH;
  if (method !== METHODS[target.kind]) return METHOD_NOT_ALLOWED;
  switch (target.kind) {
    case "readiness":
      return users.readiness();
    case "submission":
      return users.submit(bytes);
    case "status":
      return users.getStatus(target.id);
    case "cancellation":
      return users.cancel(target.id);
  }
};

/** Requests of users, workers and the load balancer. */
export const frontHandler =
  (parts: Parts): RequestHandler =>
  (request) => {
    // First, since nearly all requests are heartbeats.
    if (request.path !== HEARTBEAT_PATH) return handleUserRequest(parts.users, request);
    return request.method === "POST" ? handleHeartbeat(parts, request.bytes) : METHOD_NOT_ALLOWED;
  };

/** Requests of the other controllers. */
export const peerHandler = (parts: Parts): RequestHandler => {
  const { ctx } = parts;
  return (request) => {
    switch (request.path) {
      case SERVED_PATH:
        return { status: ctx.isReplicaSynced && !ctx.store.isFailing() ? 204 : 503 };
      case HEARTBEATS_PATH:
        return heartbeatReception(parts);
      case PEER_MESSAGE_PATH:
        return request.method === "POST" ? handlePeerMessage(parts, request) : METHOD_NOT_ALLOWED;
      default:
        return { status: 404 };
    }
  };
};

/** 404 where it can't be told: nothing is owned, or it isn't known what. */
const heartbeatReception = ({ ctx, membership, owner }: Parts): HttpResponse => {
  const isOwner = ctx.isReplicaSynced && membership.holdsValidLease();
  const received = isOwner ? owner.channel.receivesHeartbeats() : undefined;
  if (received === undefined) return { status: 404 };
  return { status: received ? 204 : 503 };
};

const handlePeerMessage = (parts: Parts, { bytes }: HttpRequest): HttpResponse => {
  const { ctx, owner, leader, cancels, wake } = parts;
  let message: PeerMessage;
  try {
    message = decodePeerMessage(bytes);
  } catch {
    ctx.log.info("malformed peer message", {});
    return { status: 400 };
  }
  for (const transfer of message.moves) owner.requestTransfer(transfer);
  for (const machine of message.retire) owner.requestDecommission(machine, message.reason);
  // Before the first scan it isn't known what is owned here: it can't promise to see to it.
  if (message.cancelled.length > 0 && !ctx.isReplicaSynced) return { status: 503 };
  cancels.receiveNotices(message.cancelled);
  leader.recordFailingJobs(message.failing);
  wake();
  return { status: 204 };
};
