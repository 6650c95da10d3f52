/**
 * Leader election by one record: whoever creates or replaces `now/leader` on the condition of its
 * revision leads. Owns no state: leadership is what the replica shows.
 */
import { KEY_ABSENT, type LeaseId } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import { encodeControllerId, keys, sameController } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

/** Decides whether this controller may claim leadership, and how. */
export class LeaderElection {
  /** Reads the replica of the context; writes nothing itself. */
  constructor(private readonly ctx: ControllerContext) {}

  /** Whether the leader record names this start of this controller. */
  isLeader(): boolean {
    const { leader } = this.ctx.replica;
    return leader !== undefined && sameController(leader.value, this.ctx.self);
  }

  /** The transaction that claims leadership; undefined while there is a leader, itself or another. */
  claimTransaction(lease: LeaseId): Transaction | undefined {
    if (this.isLeader() || !this.#isVacant()) return undefined;
    const { replica, self } = this.ctx;
    return {
      conditions: [{ key: keys.leader, rev: replica.leader?.rev ?? KEY_ABSENT }],
      ops: [{ kind: "put", key: keys.leader, value: encodeControllerId(self), lease }],
    };
  }

  /** The claim was applied. */
  onLeadershipAcquired(): void {
    this.ctx.log.info("leadership acquired", {});
  }

  /** An absent leader, an earlier start of this label, or one whose member record is gone. */
  #isVacant(): boolean {
    const { replica, self } = this.ctx;
    const leader = replica.leader?.value;
    return (
      leader === undefined || leader.label === self.label || !replica.members.has(leader.label)
    );
  }
}
