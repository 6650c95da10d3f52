/**
 * Routes requests to the components: those on the front address (from users, workers and the load
 * balancer) and those on the internal address (from the other controllers).
 *
 * Stateless. A known path with a wrong method gets status 405, an unknown path 404.
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

/** Path of the question whether the state store serves the controller that receives it. */
export const PEER_STORE_AVAILABILITY_PATH = STORE_AVAILABILITY_PATH;
/** Path of the question whether the controller that receives it gets its machines' heartbeats. */
export const PEER_HEARTBEAT_RECEPTION_PATH = HEARTBEAT_RECEPTION_PATH;

/** The components of a controller that handle requests. */
export interface ControllerComponents {
  readonly ctx: ControllerContext;
  readonly membership: Membership;
  readonly owner: ShardOwner;
  readonly leader: Leader;
  readonly cancellations: Cancellations;
  readonly users: UserApi;
  /** Makes a scheduling round run soon. */
  readonly wake: () => void;
}

const METHOD_NOT_ALLOWED: HttpResponse = { status: 405 };
const UNKNOWN_PATH: HttpResponse = { status: 404, body: { error: "unknown path" } };

const handleHeartbeat = ({ owner, leader }: ControllerComponents, bytes: Buffer): HttpResponse => {
  const body = decodeBody(bytes);
  if (!body.ok) return NOT_CBOR;
  return owner.handleHeartbeat(body.value, (status) => leader.handleUnknownMachine(status));
};

/** The HTTP method that each kind of user request must have. */
const METHOD_BY_TARGET = {
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
  if (method !== METHOD_BY_TARGET[target.kind]) return METHOD_NOT_ALLOWED;
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

/** Handles requests from users, workers and the load balancer. */
export const frontHandler =
  (components: ControllerComponents): RequestHandler =>
  (request) => {
    // Checked first because nearly all requests are heartbeats.
    if (request.path !== HEARTBEAT_PATH) return handleUserRequest(components.users, request);
    return request.method === "POST"
      ? handleHeartbeat(components, request.bytes)
      : METHOD_NOT_ALLOWED;
  };

/** Handles requests from the other controllers. */
export const peerHandler = (components: ControllerComponents): RequestHandler => {
  const { ctx } = components;
  return (request) => {
    switch (request.path) {
      case PEER_STORE_AVAILABILITY_PATH:
        return { status: ctx.isReplicaSynced && !ctx.store.isFailing() ? 204 : 503 };
      case PEER_HEARTBEAT_RECEPTION_PATH:
        return answerHeartbeatReception(components);
      case PEER_MESSAGE_PATH:
        return request.method === "POST"
          ? handlePeerMessage(components, request)
          : METHOD_NOT_ALLOWED;
      default:
        return { status: 404 };
    }
  };
};

/**
 * 204 if heartbeats are received, 503 if not, and 404 if this is unknown: the controller owns no
 * machines that should send any, or doesn't know yet which ones it owns.
 */
const answerHeartbeatReception = ({
  ctx,
  membership,
  owner,
}: ControllerComponents): HttpResponse => {
  const isOwner = ctx.isReplicaSynced && membership.holdsValidLease();
  const received = isOwner ? owner.channel.receivesHeartbeats() : undefined;
  if (received === undefined) return { status: 404 };
  return { status: received ? 204 : 503 };
};

const handlePeerMessage = (
  components: ControllerComponents,
  { bytes }: HttpRequest,
): HttpResponse => {
  const { ctx, owner, leader, cancellations, wake } = components;
  let message: PeerMessage;
  try {
    message = decodePeerMessage(bytes);
  } catch {
    ctx.log.info("malformed peer message", {});
    return { status: 400 };
  }
  for (const transfer of message.moves) owner.requestTransfer(transfer);
  for (const machine of message.retire) owner.requestDecommission(machine, message.reason);
  // Before the first scan this controller doesn't know which jobs it owns, so it can't confirm that
  // it will enforce a cancellation.
  if (message.cancelled.length > 0 && !ctx.isReplicaSynced) return { status: 503 };
  cancellations.receiveNotices(message.cancelled);
  leader.recordFailingJobs(message.failing);
  wake();
  return { status: 204 };
};
