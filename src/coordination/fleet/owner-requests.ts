/**
 * Requests of the leader to the owners of shards.
 *
 * Owns no state. Only its owner knows whether a machine is free, so only the owner transfers or
 * decommissions it. Requests are hints: a lost one is repeated by a later plan.
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

/** The requests to one owner; the field names are those of a peer message. */
interface RequestBatch {
  readonly moves: MachineTransferRequest[];
  readonly retire: MachineId[];
}

/** Sends requests to owners: a direct call on this controller, a peer message to the others. */
export class OwnerRequests {
  /** Requested transfers since the process started: `moved` without and `drained` with a drain. */
  readonly counters = { moved: 0, drained: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: LocalShardOwner,
    private readonly peers: HttpClient,
  ) {}

  /** Requests transfers, and the decommission of surplus machines once they are empty. */
  requestTransfers(
    transfers: readonly MachineTransferRequest[],
    surplus: readonly MachineId[] = [],
  ): void {
    for (const { drain } of transfers) this.counters[drain ? "drained" : "moved"]++;
    this.#send(transfers, surplus, "");
  }

  /** Requests the immediate decommission of lost machines, even with open attempts on them. */
  forceDecommission(lost: readonly MachineId[], reason: string): void {
    if (lost.length > 0) this.#send([], lost, reason);
  }

  #send(
    transfers: readonly MachineTransferRequest[],
    decommissions: readonly MachineId[],
    reason: string,
  ): void {
    for (const [owner, requests] of this.#groupByOwner(transfers, decommissions))
      if (owner === this.ctx.self.label) this.#sendToLocalOwner(requests, reason);
      else this.#sendToPeer(owner, requests, reason);
  }

  #groupByOwner(
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

  #sendToLocalOwner({ moves, retire }: RequestBatch, reason: string): void {
    for (const transfer of moves) this.owner.requestTransfer(transfer);
    for (const id of retire) this.owner.requestDecommission(id, reason);
  }

  #sendToPeer(owner: ControllerLabel, requests: RequestBatch, reason: string): void {
    const { settings, self } = this.ctx;
    const address = peerAddress(settings, owner);
    if (address === undefined) return;
    const payload = encodePeerMessage({
      ...EMPTY_PEER_MESSAGE,
      from: self.label,
      ...requests,
      reason,
    });
    // Not awaited: the result is not needed, because a later plan repeats the request.
    void this.peers.callRaw(address, "POST", "/peer", payload, PEER_CALL_TIMEOUT_MS);
  }
}
