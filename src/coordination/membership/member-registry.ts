/**
 * The live controllers by their member records, which hang on their leases. Owns since when each
 * incarnation has been seen here: a newcomer is given shards only after a while.
 */
import type { ControllerLabel, Incarnation, LeaseId, MonotonicMs } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import {
  type ControllerId,
  encodeControllerId,
  keys,
  sameController,
} from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

/** The live controllers by label. */
export type Members = ReadonlyMap<ControllerLabel, ControllerId>;

/** Registers this controller, and knows who else is present and for how long. */
export class MemberRegistry {
  readonly #presentSince = new Map<Incarnation, MonotonicMs>();

  /** Reads the replica of the context; writes nothing itself. */
  constructor(private readonly ctx: ControllerContext) {}

  /** Whether the member record of this label names this start of this controller. */
  isRegistered(): boolean {
    const { replica, self } = this.ctx;
    return sameController(replica.members.get(self.label)?.value, self);
  }

  /** The transaction that writes this controller's member record; it goes with the lease. */
  registrationTransaction(lease: LeaseId): Transaction {
    const { replica, self } = this.ctx;
    const key = keys.member(self.label);
    return {
      conditions: [{ key, rev: replica.revisionOf(key) }],
      ops: [{ kind: "put", key, value: encodeControllerId(self), lease }],
    };
  }

  /** All live controllers, this one among them once it is registered. */
  liveMembers(): Members {
    const members = new Map<ControllerLabel, ControllerId>();
    for (const [label, record] of this.ctx.replica.members) members.set(label, record.value);
    return members;
  }

  /** Those of `members` that have been present for the operators' hand-back time, as of `now`. */
  stableMembers(members: Members, now: MonotonicMs): ReadonlySet<ControllerLabel> {
    const present = new Set([...members.values()].map((member) => member.incarnation));
    for (const incarnation of [...this.#presentSince.keys()])
      if (!present.has(incarnation)) this.#presentSince.delete(incarnation);
    const stable = new Set<ControllerLabel>();
    for (const { label, incarnation } of members.values()) {
      const since = this.#presentSince.get(incarnation) ?? now;
      this.#presentSince.set(incarnation, since);
      if (now - since >= this.ctx.operators.handBackS * 1000) stable.add(label);
    }
    return stable;
  }
}
