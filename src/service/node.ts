import type { Operators } from "../cli/operators.js";
import type { Settings } from "../cli/settings.js";
import { Cancellations } from "../coordination/cancels.js";
import type { Context } from "../coordination/context.js";
import { Leader } from "../coordination/leader.js";
import { LoopLag } from "../coordination/loop-lag.js";
import { Membership, NO_ANSWERS, type PeerAnswers } from "../coordination/membership.js";
import { PauseDetector } from "../coordination/pause-detector.js";
import { ShardOwner } from "../coordination/shard-owner.js";
import type { Logger } from "../observability/log.js";
import { Metrics } from "../observability/metrics.js";
import type { Incarnation } from "../protocol/ids.js";
import { Replica } from "../storage/replica.js";
import { Store } from "../storage/store.js";
import type { Calls } from "../transport/client.js";
import { sleep, steadyNow } from "../transport/clock.js";
import type { Handler } from "../transport/server.js";
import { type PeriodicTask, periodicTask, rested } from "./periodic-task.js";
import { ReplicaSync } from "./replica-sync.js";
import { frontHandler, HEARTBEATS_PATH, peerHandler, SERVED_PATH } from "./routes.js";
import { Users } from "./users.js";

const MEMBERSHIP_MS = 250;
/**
 * What happens within this time is decided together. A round costs much the same whether one
 * machine has changed or ten; at 15 ms rounds took a quarter of a controller's processor time.
 */
const MIN_ROUND_GAP_MS = 50;
/**
 * How many times as long as it took a round rests, and for how long at most. (Resting for as long as
 * it took, and never more than a quarter of a second, rounds took most of a small controller's
 * processor while many jobs waited, and its machines' leases ran out.)
 */
const ROUND_REST = 6;
const MOST_ROUND_REST_MS = 2000;
const STANDING_MS = 400;
const ADOPT_MS = 400;
const REBALANCE_MS = 200;
/** How many times as long as they took a rebalance and a plan of the fleet rest. */
const REBALANCE_REST = 10;
const PLAN_REST = 10;
const CANCELS_MS = 500;
const FAILING_EVERY_MS = 2000;
const PEER_MS = 800;
const PAUSE_CHECK_MS = 250;

/** What a node reaches the world through. */
export interface Connections {
  readonly state: Calls;
  readonly cloud: Calls;
  readonly workers: Calls;
  readonly peers: Calls;
}

export interface Node {
  readonly front: Handler;
  readonly inner: Handler;
  readonly tasks: readonly PeriodicTask[];
  readonly stop: () => void;
}

/** All parts of one controller, put together; whoever calls this runs the tasks and the servers. */
export const makeNode = (
  settings: Settings,
  operators: Operators,
  log: Logger,
  connections: Connections,
  incarnation: Incarnation,
  random: () => number,
): Node => {
  const members = settings.seeds.length + 1;
  const ctx: Context = {
    settings,
    teams: new Map(settings.teams.map((t) => [t.name, t])),
    operators,
    store: new Store(settings.stateAddress, settings.state, connections.state, members),
    replica: new Replica(),
    me: { label: settings.label, incarnation },
    log,
    random,
    metrics: new Metrics(),
    // Half of its lease: after a longer pause it may have lapsed, and others may hold what it held.
    pauses: new PauseDetector(steadyNow(), operators.memberLeaseMs / 2),
    lag: new LoopLag(),
    synced: false,
    stopping: false,
  };
  let roundDue = true;
  let wakeRounds: (() => void) | undefined;
  const wake = (): void => {
    roundDue = true;
    wakeRounds?.();
  };
  const membership: Membership = new Membership(ctx, () => owner.channel.reaches());
  const owner: ShardOwner = new ShardOwner(ctx, membership, connections.workers, wake);
  const leader = new Leader(
    ctx,
    membership,
    owner,
    connections.cloud,
    connections.peers,
    connections.workers,
  );
  const cancels = new Cancellations(
    ctx,
    membership,
    owner,
    connections.cloud,
    connections.peers,
    connections.workers,
  );
  const users = new Users(ctx, membership, wake, (w) => cancels.confirm(w));

  const parts = { ctx, membership, owner, leader, cancels, users, wake };
  const sync = new ReplicaSync(ctx, membership, wake);

  const rounds = async (): Promise<void> => {
    if (!roundDue)
      await Promise.race([
        sleep(operators.roundMs),
        new Promise<void>((resolve) => {
          wakeRounds = resolve;
        }),
      ]);
    wakeRounds = undefined;
    roundDue = false;
    const began = steadyNow();
    const round = owner.round();
    // For several times as long as was decided for, what happens gathers into a wider batch: however
    // much there is to decide, reports, users and leases keep most of the processor.
    const tookMs = steadyNow() - began;
    const restUntil = steadyNow() + Math.min(MOST_ROUND_REST_MS, ROUND_REST * tookMs);
    const next = await round;
    if (next !== "idle") roundDue = true;
    // The same until the budget lets the next one through.
    const pauseMs = typeof next === "object" ? Math.min(operators.roundMs, next.pauseMs) : 0;
    const restMs = Math.max(pauseMs, restUntil - steadyNow());
    if (restMs > 0) await sleep(restMs);
  };

  /** What the other controllers say of themselves: yes, no, or nothing. */
  const askPeers = async (path: string): Promise<PeerAnswers> => {
    const answers = await Promise.all(
      settings.seeds.map((s) => connections.peers.raw(s.address, "GET", path, undefined, PEER_MS)),
    );
    const count = (status: number): number =>
      answers.filter((w) => w.kind === "answer" && w.status === status).length;
    return { served: count(204), unserved: count(503) };
  };

  let watchedAt = steadyNow();
  /** How late this task runs tells how far the process is behind. */
  const watchLoop = (): void => {
    const now = steadyNow();
    ctx.lag.observe(now - watchedAt - PAUSE_CHECK_MS, now);
    watchedAt = now;
    owner.detectPause();
  };

  let wasAway = false;
  /** One look at how we stand; in trouble, the other controllers are asked how they do. */
  const updateStanding = async (): Promise<void> => {
    const answers = ctx.store.failing() ? await askPeers(SERVED_PATH) : NO_ANSWERS;
    const before = membership.standing;
    const away = membership.away;
    const standing = membership.updateStanding(answers);
    // What was not heard in a trouble of our own is held against nobody.
    // So after it had resigned: the machines given back are heard anew. (docs/incidents, inc-58fc)
    const returned = wasAway && !away;
    wasAway = away;
    if (returned || (before === "alone" && standing !== "alone"))
      owner.channel.startAnew(steadyNow());
    const others = ctx.replica.members.size > 1;
    if (owner.channel.connectivity !== "disconnected" || !others) return;
    if (standing !== "served" || !membership.entitled()) return;
    // Where the others don't hear theirs either, there is nobody to step aside for.
    const hearing = await askPeers(HEARTBEATS_PATH);
    if (hearing.served > 0 || hearing.unserved === 0) await membership.resign();
  };

  const stats = async (): Promise<void> => {
    const { rss, heapUsed } = process.memoryUsage();
    const cpu = process.cpuUsage();
    log.info("stats", {
      jobs: ctx.replica.accepted.size,
      machines: ctx.replica.machines.size,
      owner: owner.stats(),
      cancels: cancels.stats(),
      ...(membership.leads() ? { leader: leader.stats() } : {}),
      state: ctx.store.counters,
      questions: users.stats(),
      lagMs: Math.round(ctx.lag.recentMs(steadyNow())),
      timesMs: await ctx.metrics.drain(),
      rssMb: Math.round(rss / 1e6),
      heapMb: Math.round(heapUsed / 1e6),
      cpuMs: Math.round((cpu.user + cpu.system) / 1000),
    });
  };

  return {
    front: frontHandler(parts),
    inner: peerHandler(parts),
    tasks: [
      periodicTask("pauses", PAUSE_CHECK_MS, async () => watchLoop()),
      periodicTask("lease", Math.floor(operators.memberLeaseMs / 4), () => membership.keepLease()),
      periodicTask("membership", MEMBERSHIP_MS, () => membership.reconcile()),
      periodicTask("standing", STANDING_MS, updateStanding),
      periodicTask("adopt", ADOPT_MS, () => leader.adoptAll()),
      periodicTask("cancels", CANCELS_MS, () => cancels.reconcile()),
      periodicTask("watch", operators.watchPauseMs, () => sync.follow()),
      periodicTask("rounds", MIN_ROUND_GAP_MS, rounds),
      periodicTask("cloud", operators.fleetPeriodMs, () => leader.callCloud()),
      periodicTask("failing", FAILING_EVERY_MS, () => leader.tellFailing()),
      periodicTask(
        "rebalance",
        REBALANCE_MS,
        rested(REBALANCE_REST, () => leader.rebalance()),
      ),
      periodicTask(
        "fleet",
        operators.fleetPeriodMs,
        rested(PLAN_REST, () => leader.plan()),
      ),
      periodicTask("stats", operators.statsPeriodS * 1000, stats),
    ],
    stop: () => {
      ctx.stopping = true;
      for (const c of Object.values(connections)) c.close();
    },
  };
};
