/**
 * Whether a machine has to leave its shard: the state machine of transfers and decommissions.
 *
 *     staying --transfer_requested--> transfer_pending --transfer_ended--> staying
 *        \                                  |
 *         `--decommission_*--> decommission_pending <--decommission_*--'
 *
 * A decommission is never withdrawn, and a forced one replaces one that is not forced. A transfer
 * may be requested while a decommission is pending. `decommission_pending` keeps it until it has
 * ended, because the drain that belongs to it still empties the machine.
 */
import type { MonotonicMs, ShardId } from "@umberfold/ids";

/** The leader has requested the machine for another shard. */
export interface PendingTransfer {
  /** The shard to which it should be transferred. */
  readonly to: ShardId;
  /** Its tasks are evicted, so that it becomes empty. */
  readonly drain: boolean;
  /**
   * Unless this or `drain` is set, the request is dropped when the machine is found not empty. With
   * it, the transfer waits until nothing runs there.
   */
  readonly whenEmpty: boolean;
  /** When the request expires, if the transfer hasn't been written. */
  readonly expiresAt: MonotonicMs;
}

/** The machine has to be returned to the cloud. */
export interface PendingDecommission {
  /** Why, for the log. */
  readonly reason: string;
  /** It is returned at once, instead of after the termination of its last open attempt. */
  readonly isForced: boolean;
}

/** The state of one machine. New attempts may start on it only while it is `staying`. */
export type DepartureState =
  | { readonly kind: "staying" }
  | { readonly kind: "transfer_pending"; readonly transfer: PendingTransfer }
  | {
      readonly kind: "decommission_pending";
      readonly decommission: PendingDecommission;
      readonly transfer: PendingTransfer | null;
    };

/** What changes whether a machine leaves. */
export type DepartureEvent =
  /** The leader requested a transfer; it replaces an earlier request. */
  | { readonly kind: "transfer_requested"; readonly transfer: PendingTransfer }
  /**
   * The transfer is being written, has expired, was abandoned, or the machine is returned instead.
   */
  | { readonly kind: "transfer_ended" }
  /** Return the machine once it is empty. Ignored if a decommission is already pending. */
  | { readonly kind: "decommission_requested"; readonly reason: string }
  /** Return the machine at once. Replaces a pending decommission. */
  | { readonly kind: "decommission_forced"; readonly reason: string };

const STAYING: DepartureState = { kind: "staying" };

const transferOf = (state: DepartureState): PendingTransfer | null =>
  state.kind === "staying" ? null : state.transfer;

/** The only function that changes a machine's departure. */
export const stepDeparture = (state: DepartureState, event: DepartureEvent): DepartureState => {
  switch (event.kind) {
    case "transfer_requested":
      return state.kind === "decommission_pending"
        ? { ...state, transfer: event.transfer }
        : { kind: "transfer_pending", transfer: event.transfer };
    case "transfer_ended":
      return state.kind === "decommission_pending" ? { ...state, transfer: null } : STAYING;
    case "decommission_requested":
      if (state.kind === "decommission_pending") return state;
      return {
        kind: "decommission_pending",
        decommission: { reason: event.reason, isForced: false },
        transfer: transferOf(state),
      };
    case "decommission_forced":
      return {
        kind: "decommission_pending",
        decommission: { reason: event.reason, isForced: true },
        transfer: transferOf(state),
      };
  }
};

/** The departure of one machine. */
export class MachineDeparture {
  #state: DepartureState = STAYING;

  /** Whether the machine stays, is to be transferred, or is to be decommissioned. */
  get state(): DepartureState {
    return this.#state;
  }

  /** A transfer or a decommission is pending, so nothing new may start on the machine. */
  get isPending(): boolean {
    return this.#state.kind !== "staying";
  }

  /** The pending decommission, or null. */
  get decommission(): PendingDecommission | null {
    return this.#state.kind === "decommission_pending" ? this.#state.decommission : null;
  }

  /** The pending transfer, or null. A decommission may be pending at the same time. */
  get transfer(): PendingTransfer | null {
    return transferOf(this.#state);
  }

  /** Applies an event. */
  step(event: DepartureEvent): void {
    this.#state = stepDeparture(this.#state, event);
  }
}
