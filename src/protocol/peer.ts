import protobuf from "protobufjs/light.js";
import { type MachineId, machineId, type ShareNo, shareNo } from "./ids.js";

/** `vacate`: stop what of lower rank runs there first. */
export interface MoveRequest {
  readonly machine: MachineId;
  readonly to: ShareNo;
  readonly vacate: boolean;
}

/** What the leader asks of a share's holder. Hints only: all that must hold is in the state service. */
export interface PeerMessage {
  readonly from: string;
  readonly moves: readonly MoveRequest[];
  readonly retire: readonly MachineId[];
  /** Why they are to be retired at once; empty: they are surplus. */
  readonly reason: string;
}

const root = protobuf.Root.fromJSON({
  nested: {
    Move: {
      fields: {
        machine: { type: "string", id: 1 },
        to: { type: "uint32", id: 2 },
        vacate: { type: "bool", id: 3 },
      },
    },
    PeerMessage: {
      fields: {
        from: { type: "string", id: 1 },
        moves: { rule: "repeated", type: "Move", id: 2 },
        retire: { rule: "repeated", type: "string", id: 3 },
        reason: { type: "string", id: 4 },
      },
    },
  },
});
const Message = root.lookupType("PeerMessage");

export const encodePeer = (m: PeerMessage): Uint8Array =>
  Message.encode(Message.fromObject(m)).finish();

/** Throws on bytes that are no such message. */
export const decodePeer = (bytes: Uint8Array): PeerMessage => {
  const o = Message.toObject(Message.decode(bytes), { defaults: true, arrays: true }) as {
    from: string;
    moves: { machine: string; to: number; vacate: boolean }[];
    retire: string[];
    reason: string;
  };
  return {
    from: o.from,
    moves: o.moves.map((m) => ({
      machine: machineId(m.machine),
      to: shareNo(m.to),
      vacate: m.vacate,
    })),
    retire: o.retire.map(machineId),
    reason: o.reason,
  };
};
