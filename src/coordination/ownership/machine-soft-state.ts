/**
 * What the owner of a shard keeps in memory about one machine, besides its worker session.
 *
 * Each concern is a separate object, which changes only by its own methods. All of it is lost with
 * the process, so it may guide scheduling decisions but is never evidence that an attempt is gone.
 */
import { DirectCallState } from "./direct-call-state.js";
import { ImageCache } from "./image-cache.js";
import { MachineDeparture } from "./machine-departure.js";
import { MachineFaults } from "./machine-faults.js";
import { MachineHealth } from "./machine-health.js";
import { TokenRaiseRequest } from "./token-raise-request.js";

/** The soft state of one machine. The objects stay the same; only their contents change. */
export class MachineSoftState {
  /** Failed calls and the newest heartbeat. */
  readonly health = new MachineHealth();
  /** Attempts that failed on it. */
  readonly faults = new MachineFaults();
  /** The images presumed to be in its cache. */
  readonly imageCache = new ImageCache();
  /** Whether it is to be transferred or decommissioned. */
  readonly departure = new MachineDeparture();
  /** Whether a direct call to its worker is in flight, and whether another is due. */
  readonly call = new DirectCallState();
  /** Whether a task waits for its fencing token to be raised. */
  readonly tokenRaise = new TokenRaiseRequest();
}
