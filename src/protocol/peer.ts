/**
 * The one message that controllers send each other, in protocol buffers.
 *
 * The schema below is the wire's: field numbers and types must not change, and a field that an
 * older controller doesn't send reads as its default. Its names are already the glossary's, but for
 * `retire` (machines to be decommissioned) and `moves` (transfers).
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

/** Where controllers send each other messages. */
export const PEER_MESSAGE_PATH = "/peer";
/** Whether the state store serves the controller that is asked: 204 or 503. */
export const STORE_AVAILABILITY_PATH = "/served";
/** Whether the controller that is asked receives its machines' heartbeats: 204, 503 or 404. */
export const HEARTBEAT_RECEPTION_PATH = "/hears";

/**
 * Asks a shard's owner to transfer a machine. `drain`: stop tasks of lower priority there first.
 * `whenEmpty`: start nothing more there, and transfer it once what runs has ended. Neither: only if
 * it is empty now.
 */
export interface MachineTransferRequest {
  readonly machine: MachineId;
  readonly to: ShardId;
  readonly drain: boolean;
  readonly whenEmpty?: boolean;
}

/** A cancellation that is known to be written: its record's revision, and the time in the record. */
export interface CancellationNotice {
  readonly job: JobId;
  readonly rev: Revision;
  readonly at: WallClockMs;
}

/**
 * What controllers tell one another. What the leader asks of a shard's owner is a hint only: all
 * that must hold is in the state store. So is a cancellation, but the sender may have read it where
 * the receiver can't.
 */
export interface PeerMessage {
  /** The sender's label. */
  readonly from: string;
  readonly moves: readonly MachineTransferRequest[];
  /** Machines to be decommissioned. */
  readonly retire: readonly MachineId[];
  /** Why they are to be decommissioned at once; empty: they are surplus. */
  readonly reason: string;
  readonly cancelled: readonly CancellationNotice[];
  /** Jobs of the sender's shards that fail wherever they are started. */
  readonly failing: readonly JobId[];
}

/** A message that says nothing, to be filled in. */
export const EMPTY_PEER_MESSAGE: Omit<PeerMessage, "from"> = {
  moves: [],
  retire: [],
  reason: "",
  cancelled: [],
  failing: [],
};

const root = protobuf.Root.fromJSON({
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
const peerMessageType = root.lookupType("PeerMessage");

/** The message as protobufjs reads it: all fields there, and none of them checked. */
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

/** Whether a notice can be one; any other is ignored, and the rest of its message counts. */
const isPossibleNotice = ({ job, rev, at }: WireCancelled): boolean =>
  isJobId(job) && Number.isSafeInteger(rev) && rev > 0 && Number.isFinite(at);

const cancellationNotice = ({ job, rev, at }: WireCancelled): CancellationNotice => ({
  job: jobId(job),
  rev: revision(rev),
  at: wallClockMs(at),
});

/** The bytes of a message. */
export const encodePeerMessage = (message: PeerMessage): Uint8Array =>
  peerMessageType.encode(peerMessageType.fromObject(message)).finish();

/** Throws on bytes that are no such message. */
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
    cancelled: wire.cancelled.filter(isPossibleNotice).map(cancellationNotice),
  };
};
