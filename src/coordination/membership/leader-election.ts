/**
 * Leader election through one record: the controller whose conditional write creates or replaces
 * `now/leader` is the leader; the condition is the record's revision. Stateless: the current leader
 * is read from the replica.
 */
import { KEY_ABSENT, type LeaseId } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import { encodeControllerId, isSameController, keys } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

/** Decides whether this controller may claim leadership, and builds the transaction for it. */
export class LeaderElection {
  /** Reads the replica of the context; the caller commits the transactions. */
  constructor(private readonly ctx: ControllerContext) {}

  /** Whether the leader record names this controller with its current incarnation. */
  isLeader(): boolean {
    const { leader } = this.ctx.replica;
    return leader !== undefined && isSameController(leader.value, this.ctx.self);
  }

  /** The transaction that claims leadership; undefined while any controller is the leader. */
  claimTransaction(lease: LeaseId): Transaction | undefined {
    if (this.isLeader() || !this.#isVacant()) return undefined;
    const { replica, self } = this.ctx;
    return {
      conditions: [{ key: keys.leader, rev: replica.leader?.rev ?? KEY_ABSENT }],
      ops: [{ kind: "put", key: keys.leader, value: encodeControllerId(self), lease }],
    };
  }

  /** Logs that the claim was committed. */
  onLeadershipAcquired(): void {
    this.ctx.log.info("leadership acquired", {});
  }

  /**
   * Whether leadership can be claimed: there is no leader record, or it names an earlier
   * incarnation of this controller, or a controller whose member record is gone. Called only while
   * this incarnation is not the leader.
   */
  #isVacant(): boolean {
    const { replica, self } = this.ctx;
    const leader = replica.leader?.value;
    return (
      leader === undefined || leader.label === self.label || !replica.members.has(leader.label)
    );
  }
}
