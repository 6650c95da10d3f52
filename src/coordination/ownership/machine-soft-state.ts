/**
 * What the owner of a shard keeps in memory about one machine, besides its worker session.
 *
 * Each concern is a part of its own, changed only by that part's methods. All of it may be lost
 * with the process: it steers choices and proves nothing.
 */
import { DirectCallState } from "./direct-call-state.js";
import { ImageCache } from "./image-cache.js";
import { MachineDeparture } from "./machine-departure.js";
import { MachineFaults } from "./machine-faults.js";
import { MachineHealth } from "./machine-health.js";
import { TokenRaiseRequest } from "./token-raise-request.js";

/** The soft state of one machine: its parts never change, only what is in them. */
export class MachineSoftState {
  /** Unanswered calls and the newest heartbeat. */
  readonly health = new MachineHealth();
  /** Attempts that failed there. */
  readonly faults = new MachineFaults();
  /** The images that it should have in its cache. */
  readonly imageCache = new ImageCache();
  /** Whether it is to be transferred or decommissioned. */
  readonly departure = new MachineDeparture();
  /** The direct call to its worker, if one is in flight. */
  readonly call = new DirectCallState();
  /** Whether a task waits for its fencing token to rise. */
  readonly tokenRaise = new TokenRaiseRequest();
}
