/**
 * Loads the load-spread package if it is enabled, or if spans remain from when it was enabled and
 * must be dissolved. Otherwise the package's code isn't loaded and `tick` returns at once.
 *
 * It owns the loaded package, which is loaded at most once.
 */
import type { LoadSpreadSettings } from "@umberfold/load-spread";
import type { ControllerContext } from "../coordination/context.js";
import type { Leader } from "../coordination/fleet/leader.js";
import type { LoadSpread } from "../coordination/load-spread/load-spread.js";
import type { Membership } from "../coordination/membership/membership.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import type { MachineTransferRequest } from "../protocol/peer.js";

/** Loads the load-spread package on first use and delegates to it. */
export class LoadSpreadLoader {
  #loading: Promise<LoadSpread> | undefined;
  #loaded: LoadSpread | undefined;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: ShardOwner,
    private readonly settings: LoadSpreadSettings,
    private readonly leader: Leader,
  ) {}

  /** Runs the package's periodic work once; loads the package first if necessary. */
  async tick(): Promise<void> {
    if (!this.settings.enabled && !this.ctx.quotas.hasDividedQuotas) return;
    this.#loading ??= this.#load();
    await (await this.#loading).tick();
  }

  /** The package's counters since it was loaded; undefined if it isn't loaded. */
  stats(): Readonly<Record<string, unknown>> | undefined {
    return this.#loaded?.stats();
  }

  async #load(): Promise<LoadSpread> {
    const { LoadSpread } = await import("../coordination/load-spread/load-spread.js");
    const transfer = (requests: readonly MachineTransferRequest[]): void =>
      this.leader.requestTransfers(requests);
    this.#loaded = new LoadSpread(this.ctx, this.membership, this.owner, this.settings, transfer);
    if (this.settings.enabled) this.ctx.loadSpread = this.#loaded.hooks();
    return this.#loaded;
  }
}
