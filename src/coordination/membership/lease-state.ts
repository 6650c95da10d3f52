/**
 * The state machine of this controller's lease: its named states and the one function that changes
 * them. Without I/O; `LeaseKeeper` owns the state and makes the calls.
 */
import type { LeaseId, MonotonicMs } from "@umberfold/ids";

/** A lease that the state store granted. */
export interface GrantedLease {
  readonly id: LeaseId;
  /** When the answer to its grant or to its last renewal arrived. */
  readonly renewedAt: MonotonicMs;
}

/**
 * `none`: not granted yet, at the start and right after rejoining. `held`: granted and, as far as is
 * known, not expired. `expired`: the state store said that it is gone, and with it the member record.
 * `released`: given up so that others fail over; not granted again before `nextProbeAt`.
 */
export type LeaseState =
  | { readonly kind: "none" }
  | { readonly kind: "held"; readonly lease: GrantedLease }
  | { readonly kind: "expired" }
  | {
      readonly kind: "released";
      /** When to probe next whether the machines are reachable again. */
      readonly nextProbeAt: MonotonicMs;
      /** A lease whose grant was in flight during the release; renewed only after rejoining. */
      readonly lateLease: GrantedLease | undefined;
    };

/** What happens to a lease. `rejoin_postponed`: the machines were probed and are still unreachable. */
export type LeaseEvent =
  | { readonly kind: "granted"; readonly lease: GrantedLease }
  | { readonly kind: "renewed"; readonly at: MonotonicMs }
  | { readonly kind: "expired" }
  | { readonly kind: "released"; readonly nextProbeAt: MonotonicMs }
  | { readonly kind: "rejoin_postponed"; readonly nextProbeAt: MonotonicMs }
  | { readonly kind: "rejoined" };

/** The state of a controller that has just started. */
export const INITIAL_LEASE_STATE: LeaseState = { kind: "none" };

/** The lease that records can be attached to, if there is one. */
export const grantedLease = (state: LeaseState): GrantedLease | undefined => {
  if (state.kind === "held") return state.lease;
  return state.kind === "released" ? state.lateLease : undefined;
};

const withLease = (state: LeaseState, lease: GrantedLease): LeaseState =>
  state.kind === "released" ? { ...state, lateLease: lease } : { kind: "held", lease };

/**
 * The only place where the state of the lease changes. Answers may arrive after the shards were
 * released: they never end the `released` state, only `rejoined` does.
 */
export const stepLease = (state: LeaseState, event: LeaseEvent): LeaseState => {
  switch (event.kind) {
    case "granted":
      return withLease(state, event.lease);
    case "renewed": {
      const lease = grantedLease(state);
      // Expired or released while the renewal was in flight: its answer revives nothing.
      return lease === undefined ? state : withLease(state, { ...lease, renewedAt: event.at });
    }
    case "expired":
      return state.kind === "released" ? { ...state, lateLease: undefined } : { kind: "expired" };
    case "released":
      return { kind: "released", nextProbeAt: event.nextProbeAt, lateLease: undefined };
    case "rejoin_postponed":
      return state.kind === "released" ? { ...state, nextProbeAt: event.nextProbeAt } : state;
    case "rejoined": {
      const lease = grantedLease(state);
      return lease === undefined ? { kind: "none" } : { kind: "held", lease };
    }
  }
};
