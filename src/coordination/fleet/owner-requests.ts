import type { ControllerLabel, MachineId } from "@umberfold/ids";
import {
  EMPTY_PEER_MESSAGE,
  encodePeerMessage,
  type MachineTransferRequest,
} from "../../protocol/peer.js";
import type { HttpClient } from "../../transport/client.js";
import { type ControllerContext, peerAddress } from "../context.js";
import type { Membership } from "../membership/membership.js";
import type { ShardOwner } from "../rounds/shard-owner.js";

const PEER_MS = 1000;

interface Requests {
  readonly moves: MachineTransferRequest[];
  readonly retire: MachineId[];
}

/**
 * What the leader wants of the shards' owners: an owner alone knows that a machine of its is free,
 * so it is the owner that moves or retires it.
 */
export class OwnerRequests {
  readonly counters = { moved: 0, drained: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: ShardOwner,
    private readonly peers: HttpClient,
  ) {}

  requestTransfers(
    moves: readonly MachineTransferRequest[],
    surplus: readonly MachineId[] = [],
  ): void {
    for (const m of moves) this.counters[m.drain ? "drained" : "moved"]++;
    this.#send(moves, surplus, "");
  }

  /** Machines that are lost go at once, whatever stands on them. */
  requestDecommission(lost: readonly MachineId[], reason: string): void {
    if (lost.length > 0) this.#send([], lost, reason);
  }

  #send(
    moves: readonly MachineTransferRequest[],
    retire: readonly MachineId[],
    reason: string,
  ): void {
    for (const [owner, requests] of this.#byOwner(moves, retire))
      if (owner === this.ctx.self.label) this.#own(requests, reason);
      else this.#tell(owner, requests, reason);
  }

  #byOwner(
    moves: readonly MachineTransferRequest[],
    retire: readonly MachineId[],
  ): ReadonlyMap<ControllerLabel, Requests> {
    const out = new Map<ControllerLabel, Requests>();
    const requestsFor = (id: MachineId): Requests | undefined => {
      const shard = this.ctx.replica.machines.get(id)?.shard;
      const owner = shard === undefined ? undefined : this.membership.ownerOf(shard)?.label;
      if (owner === undefined) return undefined;
      const requests = out.get(owner) ?? { moves: [], retire: [] };
      out.set(owner, requests);
      return requests;
    };
    for (const m of moves) requestsFor(m.machine)?.moves.push(m);
    for (const id of retire) requestsFor(id)?.retire.push(id);
    return out;
  }

  #own({ moves, retire }: Requests, reason: string): void {
    for (const m of moves) this.owner.requestTransfer(m);
    for (const id of retire) this.owner.requestDecommission(id, reason);
  }

  #tell(owner: ControllerLabel, requests: Requests, reason: string): void {
    const { settings, self } = this.ctx;
    const address = peerAddress(settings, owner);
    if (address === undefined) return;
    const payload = encodePeerMessage({
      ...EMPTY_PEER_MESSAGE,
      from: self.label,
      ...requests,
      reason,
    });
    void this.peers.callRaw(address, "POST", "/peer", payload, PEER_MS);
  }
}
