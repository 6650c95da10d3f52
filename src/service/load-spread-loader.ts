import type { LoadSpreadSettings } from "@umberfold/load-spread";
import type { ControllerContext } from "../coordination/context.js";
import type { Leader } from "../coordination/fleet/leader.js";
import type { LoadSpread } from "../coordination/load-spread/load-spread.js";
import type { Membership } from "../coordination/membership/membership.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import type { MachineTransferRequest } from "../protocol/peer.js";

/**
 * Loads the load-spread package where it is on, or where records of a time at which it was on are
 * left to drain. Otherwise nothing of it is read, and a look costs a comparison.
 */
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

  async tick(): Promise<void> {
    if (!this.settings.enabled && !this.ctx.quotas.divided) return;
    this.#loading ??= this.#load();
    await (await this.#loading).tick();
  }

  stats(): Readonly<Record<string, unknown>> | undefined {
    return this.#loaded?.stats();
  }

  async #load(): Promise<LoadSpread> {
    const { LoadSpread } = await import("../coordination/load-spread/load-spread.js");
    const move = (moves: readonly MachineTransferRequest[]): void =>
      this.leader.transferMachines(moves);
    this.#loaded = new LoadSpread(this.ctx, this.membership, this.owner, this.settings, move);
    if (this.settings.enabled) this.ctx.loadSpread = this.#loaded.hooks();
    return this.#loaded;
  }
}
