/**
 * The single message type that controllers send each other, encoded with protocol buffers.
 *
 * The schema below is the wire format: field numbers and types must not change, and a field that an
 * older controller doesn't send has its default value. In it, `retire` means machines to be
 * decommissioned and `moves` machine transfers; the other names are the terms of this code.
 */
import {
  type JobId,
  jobId,
  type MachineId,
  machineId,
  type Revision,
  revision,
  type ShardId,
  shardId,
  type WallClockMs,
  wallClockMs,
} from "@umberfold/ids";
import protobuf from "protobufjs/light.js";
import { isJobId } from "./jobs.js";

/** The path for peer messages. */
export const PEER_MESSAGE_PATH = "/peer";
/** Asks a controller whether the state store is available to it: 204 if so, else 503. */
export const STORE_AVAILABILITY_PATH = "/served";
/** Asks a controller whether it receives heartbeats from its machines: 204, 503 or 404. */
export const HEARTBEAT_RECEPTION_PATH = "/hears";

/**
 * Asks a shard's owner to transfer a machine. With `drain`, the owner first stops tasks of lower
 * priority on it. With `whenEmpty`, it starts no more tasks on it and transfers it once the running
 * tasks have ended. With neither, it transfers the machine only if it is empty now.
 */
export interface MachineTransferRequest {
  readonly machine: MachineId;
  readonly to: ShardId;
  readonly drain: boolean;
  readonly whenEmpty?: boolean;
}

/** A committed cancellation: the revision of its record, and the time stored in the record. */
export interface CancellationNotice {
  readonly job: JobId;
  readonly rev: Revision;
  readonly at: WallClockMs;
}

/**
 * A message between controllers. Requests of the leader to a shard's owner are only hints: all
 * authoritative state is in the state store. Cancellations are stored there too, but are also sent
 * because the receiver may be unable to read them from the state store.
 */
export interface PeerMessage {
  /** The sender's label. */
  readonly from: string;
  readonly moves: readonly MachineTransferRequest[];
  /** Machines to be decommissioned. */
  readonly retire: readonly MachineId[];
  /** Why they are to be decommissioned immediately; empty if they are surplus. */
  readonly reason: string;
  readonly cancelled: readonly CancellationNotice[];
  /** Jobs of the sender's shards whose tasks fail on every machine. */
  readonly failing: readonly JobId[];
}

/** The default values of all fields except the sender. */
export const EMPTY_PEER_MESSAGE: Omit<PeerMessage, "from"> = {
  moves: [],
  retire: [],
  reason: "",
  cancelled: [],
  failing: [],
};

const schema = protobuf.Root.fromJSON({
  nested: {
    Move: {
      fields: {
        machine: { type: "string", id: 1 },
        to: { type: "uint32", id: 2 },
        drain: { type: "bool", id: 3 },
        whenEmpty: { type: "bool", id: 4 },
      },
    },
    Cancelled: {
      fields: {
        job: { type: "string", id: 1 },
        rev: { type: "uint64", id: 2 },
        at: { type: "double", id: 3 },
      },
    },
    PeerMessage: {
      fields: {
        from: { type: "string", id: 1 },
        moves: { rule: "repeated", type: "Move", id: 2 },
        retire: { rule: "repeated", type: "string", id: 3 },
        reason: { type: "string", id: 4 },
        cancelled: { rule: "repeated", type: "Cancelled", id: 5 },
        failing: { rule: "repeated", type: "string", id: 6 },
      },
    },
  },
});
const peerMessageType = schema.lookupType("PeerMessage");

/** The message as decoded by protobufjs: all fields are present, and none is validated. */
interface WireMessage {
  readonly from: string;
  readonly moves: readonly WireMove[];
  readonly retire: readonly string[];
  readonly reason: string;
  readonly cancelled: readonly WireCancelled[];
  readonly failing: readonly string[];
}

interface WireMove {
  readonly machine: string;
  readonly to: number;
  readonly drain: boolean;
  readonly whenEmpty: boolean;
}

interface WireCancelled {
  readonly job: string;
  readonly rev: number;
  readonly at: number;
}

const transferRequest = (move: WireMove): MachineTransferRequest => ({
  machine: machineId(move.machine),
  to: shardId(move.to),
  drain: move.drain,
  ...(move.whenEmpty ? { whenEmpty: true } : {}),
});

/** Whether a notice is valid. Invalid notices are ignored, the rest of the message is used. */
const isValidNotice = ({ job, rev, at }: WireCancelled): boolean =>
  isJobId(job) && Number.isSafeInteger(rev) && rev > 0 && Number.isFinite(at);

const cancellationNotice = ({ job, rev, at }: WireCancelled): CancellationNotice => ({
  job: jobId(job),
  rev: revision(rev),
  at: wallClockMs(at),
});

/** Encodes a message. */
export const encodePeerMessage = (message: PeerMessage): Uint8Array =>
  peerMessageType.encode(peerMessageType.fromObject(message)).finish();

/** Decodes a message. Throws if the bytes are not a valid peer message. */
export const decodePeerMessage = (bytes: Uint8Array): PeerMessage => {
  const wire = peerMessageType.toObject(peerMessageType.decode(bytes), {
    defaults: true,
    arrays: true,
    longs: Number,
  }) as WireMessage;
  return {
    from: wire.from,
    moves: wire.moves.map(transferRequest),
    retire: wire.retire.map(machineId),
    reason: wire.reason,
    failing: wire.failing.filter(isJobId).map(jobId),
    cancelled: wire.cancelled.filter(isValidNotice).map(cancellationNotice),
  };
};
