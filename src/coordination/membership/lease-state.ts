/**
 * The state machine of this controller's lease: its states, its events and the transition function.
 * Pure; `LeaseKeeper` holds the state and makes the calls to the state store.
 */
import type { LeaseId, MonotonicMs } from "@umberfold/ids";

/** A lease that the state store granted. */
export interface GrantedLease {
  readonly id: LeaseId;
  /** When the answer to the grant or to the latest renewal arrived. */
  readonly renewedAt: MonotonicMs;
}

/**
 * The states of the lease.
 *
 * - `none`: not granted yet, after the start or after rejoining.
 * - `held`: granted and not known to have expired.
 * - `expired`: the state store reported that it has expired, which also deleted the member record.
 * - `released`: given up so that other controllers claim the shards. No lease is requested until
 *   the machines answer a probe, the next of which is due at `nextProbeAt`.
 */
export type LeaseState =
  | { readonly kind: "none" }
  | { readonly kind: "held"; readonly lease: GrantedLease }
  | { readonly kind: "expired" }
  | {
      readonly kind: "released";
      /** When to probe again whether the machines are reachable. */
      readonly nextProbeAt: MonotonicMs;
      /** A lease whose grant was in flight during the release; renewed only after rejoining. */
      readonly lateLease: GrantedLease | undefined;
    };

/** The events of the lease. `rejoin_postponed`: a probe found the machines still unreachable. */
export type LeaseEvent =
  | { readonly kind: "granted"; readonly lease: GrantedLease }
  | { readonly kind: "renewed"; readonly at: MonotonicMs }
  | { readonly kind: "expired" }
  | { readonly kind: "released"; readonly nextProbeAt: MonotonicMs }
  | { readonly kind: "rejoin_postponed"; readonly nextProbeAt: MonotonicMs }
  | { readonly kind: "rejoined" };

/** The state when the controller starts. */
export const INITIAL_LEASE_STATE: LeaseState = { kind: "none" };

/** The lease that records can be attached to; undefined if none is granted. */
export const grantedLease = (state: LeaseState): GrantedLease | undefined => {
  if (state.kind === "held") return state.lease;
  return state.kind === "released" ? state.lateLease : undefined;
};

const withLease = (state: LeaseState, lease: GrantedLease): LeaseState =>
  state.kind === "released" ? { ...state, lateLease: lease } : { kind: "held", lease };

/**
 * The transition function of the lease. An answer that arrives after the shards were released never
 * ends the `released` state; only the event `rejoined` does.
 */
export const stepLease = (state: LeaseState, event: LeaseEvent): LeaseState => {
  switch (event.kind) {
    case "granted":
      return withLease(state, event.lease);
    case "renewed": {
      const lease = grantedLease(state);
      // The lease expired or was released while the renewal was in flight: ignore the answer.
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
