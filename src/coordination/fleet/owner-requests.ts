/**
 * What the leader asks of the shards' owners.
 *
 * Owns no state. What must hold: an owner alone knows that a machine of its is free, so it is the
 * owner that transfers or decommissions it. Requests are hints: a lost one is made again by a later
 * plan.
 */
import type { ControllerLabel, MachineId } from "@umberfold/ids";
import {
  EMPTY_PEER_MESSAGE,
  encodePeerMessage,
  type MachineTransferRequest,
} from "../../protocol/peer.js";
import type { HttpClient } from "../../transport/client.js";
import { type ControllerContext, peerAddress } from "../context.js";
import type { Membership } from "../membership/membership.js";
import type { LocalShardOwner } from "./local-shard-owner.js";

const PEER_CALL_TIMEOUT_MS = 1000;

/** What one owner is asked for, under the names of a peer message. */
interface RequestBatch {
  readonly moves: MachineTransferRequest[];
  readonly retire: MachineId[];
}

/** Sends the leader's requests to the owners; to its own controller's owner by a direct call. */
export class OwnerRequests {
  /** Transfers of idle machines, and of machines to be drained, requested since the start. */
  readonly counters = { moved: 0, drained: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: LocalShardOwner,
    private readonly peers: HttpClient,
  ) {}

  /** Asks for transfers, and for surplus machines to be decommissioned once they are empty. */
  requestTransfers(
    transfers: readonly MachineTransferRequest[],
    surplus: readonly MachineId[] = [],
  ): void {
    for (const { drain } of transfers) this.counters[drain ? "drained" : "moved"]++;
    this.#send(transfers, surplus, "");
  }

  /** Machines that are lost are decommissioned at once, whatever stands on them. */
  forceDecommission(lost: readonly MachineId[], reason: string): void {
    if (lost.length > 0) this.#send([], lost, reason);
  }

  #send(
    transfers: readonly MachineTransferRequest[],
    decommissions: readonly MachineId[],
    reason: string,
  ): void {
    for (const [owner, requests] of this.#byOwner(transfers, decommissions))
      if (owner === this.ctx.self.label) this.#askLocalOwner(requests, reason);
      else this.#askPeer(owner, requests, reason);
  }

  #byOwner(
    transfers: readonly MachineTransferRequest[],
    decommissions: readonly MachineId[],
  ): ReadonlyMap<ControllerLabel, RequestBatch> {
    const requestsByOwner = new Map<ControllerLabel, RequestBatch>();
    const requestsFor = (id: MachineId): RequestBatch | undefined => {
      const shard = this.ctx.replica.machines.get(id)?.shard;
      const owner = shard === undefined ? undefined : this.membership.ownerOf(shard)?.label;
      if (owner === undefined) return undefined;
      const requests = requestsByOwner.get(owner) ?? { moves: [], retire: [] };
      requestsByOwner.set(owner, requests);
      return requests;
    };
    for (const transfer of transfers) requestsFor(transfer.machine)?.moves.push(transfer);
    for (const id of decommissions) requestsFor(id)?.retire.push(id);
    return requestsByOwner;
  }

  #askLocalOwner({ moves, retire }: RequestBatch, reason: string): void {
    for (const transfer of moves) this.owner.requestTransfer(transfer);
    for (const id of retire) this.owner.requestDecommission(id, reason);
  }

  #askPeer(owner: ControllerLabel, requests: RequestBatch, reason: string): void {
    const { settings, self } = this.ctx;
    const address = peerAddress(settings, owner);
    if (address === undefined) return;
    const payload = encodePeerMessage({
      ...EMPTY_PEER_MESSAGE,
      from: self.label,
      ...requests,
      reason,
    });
    // Not awaited: its result changes nothing, for a later plan makes the request again.
    void this.peers.callRaw(address, "POST", "/peer", payload, PEER_CALL_TIMEOUT_MS);
  }
}
