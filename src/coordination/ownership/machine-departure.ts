/**
 * Whether a machine is to leave its shard: the state machine of transfer and decommission.
 *
 *     staying --transfer_requested--> transfer_pending --transfer_ended--> staying
 *        \                                  |
 *         `--decommission_*--> decommission_pending <--decommission_*--'
 *
 * A decommission is never withdrawn, and one that is forced replaces one that is not. A transfer
 * may be asked for while a decommission is pending: its drain still empties the machine, and so
 * `decommission_pending` remembers it until it has ended.
 */
import type { MonotonicMs, ShardId } from "@umberfold/ids";

/** The leader wants the machine for another shard. */
export interface PendingTransfer {
  /** The shard that it should go to. */
  readonly to: ShardId;
  /** Its tasks are evicted for it. */
  readonly drain: boolean;
  /** It goes as soon as nothing runs there, rather than now or not at all. */
  readonly whenEmpty: boolean;
  /** When the request expires. */
  readonly expiresAt: MonotonicMs;
}

/** The machine is to be returned to the cloud. */
export interface PendingDecommission {
  /** For the log. */
  readonly reason: string;
  /** It is returned at once, and not only when its last open attempt is terminated. */
  readonly isForced: boolean;
}

/** The state of one machine; nothing new starts there in any but `staying`. */
export type DepartureState =
  | { readonly kind: "staying" }
  | { readonly kind: "transfer_pending"; readonly transfer: PendingTransfer }
  | {
      readonly kind: "decommission_pending";
      readonly decommission: PendingDecommission;
      readonly transfer: PendingTransfer | null;
    };

/** What makes a machine leave, or stay. */
export type DepartureEvent =
  /** The leader asks for it; a request that came before is replaced. */
  | { readonly kind: "transfer_requested"; readonly transfer: PendingTransfer }
  /** The transfer is being written, expired, was given up, or the machine is returned instead. */
  | { readonly kind: "transfer_ended" }
  /** It goes once it is empty; an earlier decommission, with its reason, stands. */
  | { readonly kind: "decommission_requested"; readonly reason: string }
  /** It goes at once, whatever was asked before. */
  | { readonly kind: "decommission_forced"; readonly reason: string };

const STAYING: DepartureState = { kind: "staying" };

const transferOf = (state: DepartureState): PendingTransfer | null =>
  state.kind === "staying" ? null : state.transfer;

/** The one place where the departure of a machine changes. */
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

  /** Whether it stays, and for what it leaves otherwise. */
  get state(): DepartureState {
    return this.#state;
  }

  /** The machine is to be transferred or returned: nothing new starts there. */
  get isPending(): boolean {
    return this.#state.kind !== "staying";
  }

  /** The decommission that is pending, or null. */
  get decommission(): PendingDecommission | null {
    return this.#state.kind === "decommission_pending" ? this.#state.decommission : null;
  }

  /** The transfer that is pending, or null; a decommission may be pending besides. */
  get transfer(): PendingTransfer | null {
    return transferOf(this.#state);
  }

  /** Takes an event in. */
  step(event: DepartureEvent): void {
    this.#state = stepDeparture(this.#state, event);
  }
}
