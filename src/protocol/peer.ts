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

/**
 * `drain`: stop what of lower rank runs there first. `whenEmpty`: start nothing more there, and move
 * it once what runs has ended. Neither: only if it is empty now.
 */
export interface MachineTransferRequest {
  readonly machine: MachineId;
  readonly to: ShardId;
  readonly drain: boolean;
  readonly whenEmpty?: boolean;
}

/** A cancellation that is known to be written: the record's revision, and the time it bears. */
export interface CancellationNotice {
  readonly job: JobId;
  readonly rev: Revision;
  readonly at: WallClockMs;
}

/**
 * What controllers tell one another. What the leader asks of a shard's owner are hints only: all
 * that must hold is in the state service. So is a cancellation, but who tells of one may have read
 * it where the other can't.
 */
export interface PeerMessage {
  readonly from: string;
  readonly moves: readonly MachineTransferRequest[];
  readonly retire: readonly MachineId[];
  /** Why they are to be retired at once; empty: they are surplus. */
  readonly reason: string;
  readonly cancelled: readonly CancellationNotice[];
  /** Jobs of the sender's shards that fail wherever they are started. */
  readonly failing: readonly JobId[];
}

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
const Message = root.lookupType("PeerMessage");

export const encodePeerMessage = (m: PeerMessage): Uint8Array =>
  Message.encode(Message.fromObject(m)).finish();

/** Throws on bytes that are no such message. */
export const decodePeerMessage = (bytes: Uint8Array): PeerMessage => {
  const o = Message.toObject(Message.decode(bytes), {
    defaults: true,
    arrays: true,
    longs: Number,
  }) as {
    from: string;
    moves: { machine: string; to: number; drain: boolean; whenEmpty: boolean }[];
    retire: string[];
    reason: string;
    cancelled: { job: string; rev: number; at: number }[];
    failing: string[];
  };
  return {
    from: o.from,
    moves: o.moves.map((m) => ({
      machine: machineId(m.machine),
      to: shardId(m.to),
      drain: m.drain,
      ...(m.whenEmpty ? { whenEmpty: true } : {}),
    })),
    retire: o.retire.map(machineId),
    reason: o.reason,
    failing: o.failing.filter(isJobId).map(jobId),
    cancelled: o.cancelled
      .filter((c) => isJobId(c.job) && Number.isSafeInteger(c.rev) && c.rev > 0)
      .filter((c) => Number.isFinite(c.at))
      .map((c) => ({ job: jobId(c.job), rev: revision(c.rev), at: wallClockMs(c.at) })),
  };
};
