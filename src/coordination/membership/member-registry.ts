/**
 * The live controllers, known by their member records, which are attached to their leases. Owns the
 * time since when each incarnation has been present: a shard is handed over to a controller only
 * after it has been present for the operators' hand-back time.
 */
import type { ControllerLabel, Incarnation, LeaseId, MonotonicMs } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import {
  type ControllerId,
  encodeControllerId,
  isSameController,
  keys,
} from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

/** The live controllers by label. */
export type Members = ReadonlyMap<ControllerLabel, ControllerId>;

/** Builds this controller's registration, and tracks since when each controller is present. */
export class MemberRegistry {
  readonly #presentSince = new Map<Incarnation, MonotonicMs>();

  /** Reads the replica of the context; the caller commits the transactions. */
  constructor(private readonly ctx: ControllerContext) {}

  /** Whether the member record of this controller's label names its current incarnation. */
  isRegistered(): boolean {
    const { replica, self } = this.ctx;
    return isSameController(replica.members.get(self.label)?.value, self);
  }

  /** The transaction that writes this controller's member record, which expires with the lease. */
  registrationTransaction(lease: LeaseId): Transaction {
    const { replica, self } = this.ctx;
    const key = keys.member(self.label);
    return {
      conditions: [{ key, rev: replica.revisionOf(key) }],
      ops: [{ kind: "put", key, value: encodeControllerId(self), lease }],
    };
  }

  /** All live controllers, including this one once it is registered. */
  liveMembers(): Members {
    const members = new Map<ControllerLabel, ControllerId>();
    for (const [label, record] of this.ctx.replica.members) members.set(label, record.value);
    return members;
  }

  /**
   * The labels of those `members` that have been present without interruption for at least the
   * operators' `hand_back_s`. Also records which members are present at `now`: a controller's time
   * starts again when it has restarted or was absent from the `members` of a call.
   */
  stableMembers(members: Members, now: MonotonicMs): ReadonlySet<ControllerLabel> {
    const present = new Set([...members.values()].map((member) => member.incarnation));
    for (const incarnation of [...this.#presentSince.keys()])
      if (!present.has(incarnation)) this.#presentSince.delete(incarnation);
    const stable = new Set<ControllerLabel>();
    for (const { label, incarnation } of members.values()) {
      const since = this.#presentSince.get(incarnation) ?? now;
      this.#presentSince.set(incarnation, since);
      if (now - since >= this.ctx.operators.shardReturnDelayS * 1000) stable.add(label);
    }
    return stable;
  }
}
