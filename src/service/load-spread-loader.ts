/**
 * Loads the load-spread package where it is on, or where records of a time at which it was on are
 * left to drain. Otherwise nothing of it is read, and a look costs a comparison.
 *
 * It owns the loaded package; the package is loaded once, whoever asks first.
 */
import type { LoadSpreadSettings } from "@umberfold/load-spread";
import type { ControllerContext } from "../coordination/context.js";
import type { Leader } from "../coordination/fleet/leader.js";
import type { LoadSpread } from "../coordination/load-spread/load-spread.js";
import type { Membership } from "../coordination/membership/membership.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import type { MachineTransferRequest } from "../protocol/peer.js";

/** Stands for the load-spread package, which may never be loaded. */
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

  /** Runs the package's periodic work once, and loads it before the first time. */
  async tick(): Promise<void> {
    if (!this.settings.enabled && !this.ctx.quotas.hasDividedQuotas) return;
    this.#loading ??= this.#load();
    await (await this.#loading).tick();
  }

  /** Its counters since it was loaded; undefined before. */
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
