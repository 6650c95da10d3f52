import type { Context } from "../coordination/context.js";
import {
  type Membership,
  NO_ANSWERS,
  type PeerAnswers,
} from "../coordination/membership/membership.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import type { Calls } from "../transport/client.js";
import { steadyNow } from "../transport/clock.js";
import { HEARTBEATS_PATH, SERVED_PATH } from "./routes.js";

const PEER_MS = 800;

/** Looks at how this controller stands; in trouble, the other controllers are asked how they do. */
export class StandingWatch {
  #wasAway = false;

  constructor(
    private readonly ctx: Context,
    private readonly membership: Membership,
    private readonly owner: ShardOwner,
    private readonly peers: Calls,
  ) {}

  async update(): Promise<void> {
    const { ctx, membership, owner } = this;
    const answers = ctx.store.failing() ? await this.#ask(SERVED_PATH) : NO_ANSWERS;
    const before = membership.standing;
    const away = membership.away;
    const standing = membership.updateStanding(answers);
    // What was not heard in a trouble of our own is held against nobody.
    // So after it had resigned: the machines given back are heard anew. (docs/incidents, inc-58fc)
    const returned = this.#wasAway && !away;
    this.#wasAway = away;
    if (returned || (before === "alone" && standing !== "alone"))
      owner.channel.startAnew(steadyNow());
    const others = ctx.replica.members.size > 1;
    if (owner.channel.connectivity !== "disconnected" || !others) return;
    if (standing !== "served" || !membership.entitled()) return;
    // Where the others don't hear theirs either, there is nobody to step aside for.
    const hearing = await this.#ask(HEARTBEATS_PATH);
    if (hearing.served > 0 || hearing.unserved === 0) await membership.resign();
  }

  /** What the other controllers say of themselves: yes, no, or nothing. */
  async #ask(path: string): Promise<PeerAnswers> {
    const { seeds } = this.ctx.settings;
    const answers = await Promise.all(
      seeds.map((s) => this.peers.raw(s.address, "GET", path, undefined, PEER_MS)),
    );
    const count = (status: number): number =>
      answers.filter((w) => w.kind === "answer" && w.status === status).length;
    return { served: count(204), unserved: count(503) };
  }
}
