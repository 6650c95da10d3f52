import type { ControllerContext } from "../coordination/context.js";
import {
  type Membership,
  NO_PEER_REPORTS,
  type PeerReports,
} from "../coordination/membership/membership.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import type { HttpClient } from "../transport/client.js";
import { monotonicNow } from "../transport/clock.js";
import { HEARTBEATS_PATH, SERVED_PATH } from "./routes.js";

const PEER_MS = 800;

/** Looks at how this controller stands; in trouble, the other controllers are asked how they do. */
export class AvailabilityMonitor {
  #wasAway = false;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: ShardOwner,
    private readonly peers: HttpClient,
  ) {}

  async update(): Promise<void> {
    const { ctx, membership, owner } = this;
    const answers = ctx.store.isFailing() ? await this.#ask(SERVED_PATH) : NO_PEER_REPORTS;
    const before = membership.storeAvailability;
    const away = membership.hasReleasedShards;
    const standing = membership.updateAvailability(answers);
    // What was not heard in a trouble of our own is held against nobody.
    // So after it had resigned: the machines given back are heard anew. (docs/incidents, inc-58fc)
    const returned = this.#wasAway && !away;
    this.#wasAway = away;
    if (returned || (before === "isolated" && standing !== "isolated"))
      owner.channel.resetTimers(monotonicNow());
    const others = ctx.replica.members.size > 1;
    if (owner.channel.connectivity !== "disconnected" || !others) return;
    if (standing !== "available" || !membership.holdsValidLease()) return;
    // Where the others don't hear theirs either, there is nobody to step aside for.
    const hearing = await this.#ask(HEARTBEATS_PATH);
    if (hearing.available > 0 || hearing.unavailable === 0) await membership.releaseShards();
  }

  /** What the other controllers say of themselves: yes, no, or nothing. */
  async #ask(path: string): Promise<PeerReports> {
    const { seeds } = this.ctx.settings;
    const answers = await Promise.all(
      seeds.map((s) => this.peers.callRaw(s.address, "GET", path, undefined, PEER_MS)),
    );
    const count = (status: number): number =>
      answers.filter((w) => w.kind === "answer" && w.status === status).length;
    return { available: count(204), unavailable: count(503) };
  }
}
