import type { Incarnation } from "@umberfold/ids";
import type { Operators } from "../config/operators.js";
import type { PackageSettings } from "../config/packages.js";
import type { Settings } from "../config/settings.js";
import { Cancellations } from "../coordination/cancellation/cancellations.js";
import type { ControllerContext } from "../coordination/context.js";
import { Leader } from "../coordination/fleet/leader.js";
import { EventLoopLag } from "../coordination/membership/event-loop-lag.js";
import { Membership } from "../coordination/membership/membership.js";
import { PauseDetector } from "../coordination/membership/pause-detector.js";
import { ShardOwner } from "../coordination/rounds/shard-owner.js";
import { ShardQuotas } from "../coordination/sharding/shard-quotas.js";
import type { Logger } from "../observability/log.js";
import { Metrics } from "../observability/metrics.js";
import { Replica } from "../storage/replica.js";
import { StateStore } from "../storage/state-store.js";
import type { HttpClient } from "../transport/client.js";
import { monotonicNow } from "../transport/clock.js";
import type { RequestHandler } from "../transport/server.js";
import { AvailabilityMonitor } from "./availability-monitor.js";
import { LoadSpreadLoader } from "./load-spread-loader.js";
import { type PeriodicTask, periodicTask, withProportionalRest } from "./periodic-task.js";
import { ReplicaSync } from "./replica-sync.js";
import { RoundLoop } from "./round-loop.js";
import { frontHandler, peerHandler } from "./routes.js";
import { UserApi } from "./user-api.js";

const MEMBERSHIP_MS = 250;
/**
 * What happens within this time is decided together. A round costs much the same whether one
 * machine has changed or ten; at 15 ms rounds took a quarter of a controller's processor time.
 */
const MIN_ROUND_GAP_MS = 50;
const STANDING_MS = 400;
const ADOPT_MS = 400;
const REBALANCE_MS = 200;
/** How many times as long as they took a rebalance and a plan of the fleet rest. */
const REBALANCE_REST = 10;
const PLAN_REST = 10;
const CANCELS_MS = 500;
const FAILING_EVERY_MS = 2000;
const PAUSE_CHECK_MS = 250;

/** What a node reaches the world through. */
export interface Connections {
  readonly state: HttpClient;
  readonly cloud: HttpClient;
  readonly workers: HttpClient;
  readonly peers: HttpClient;
}

export interface Controller {
  readonly front: RequestHandler;
  readonly peer: RequestHandler;
  readonly tasks: readonly PeriodicTask[];
  readonly stop: () => void;
}

/** All parts of one controller, put together; whoever calls this runs the tasks and the servers. */
export const makeController = (
  settings: Settings,
  operators: Operators,
  packages: PackageSettings,
  log: Logger,
  connections: Connections,
  incarnation: Incarnation,
  random: () => number,
): Controller => {
  const members = settings.seeds.length + 1;
  const replica = new Replica(settings.shardCount);
  const teams = new Map(settings.teams.map((t) => [t.name, t]));
  const ctx: ControllerContext = {
    settings,
    teams,
    quotas: new ShardQuotas(replica, teams),
    operators,
    store: new StateStore(settings.stateAddress, settings.state, connections.state, members),
    replica,
    self: { label: settings.label, incarnation },
    log,
    random,
    metrics: new Metrics(),
    // Half of its lease: after a longer pause it may have lapsed, and others may hold what it held.
    pauses: new PauseDetector(monotonicNow(), operators.memberLeaseMs / 2),
    loopLag: new EventLoopLag(),
    synced: false,
    stopping: false,
  };
  const rounds = new RoundLoop(operators.roundMs);
  const wake = (): void => rounds.wake();
  const membership: Membership = new Membership(ctx, () => owner.channel.canReachMachines());
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
  const users = new UserApi(ctx, membership, wake, (w) => cancels.confirm(w));

  const loadSpread = new LoadSpreadLoader(ctx, membership, owner, packages.loadSpread, leader);

  const parts = { ctx, membership, owner, leader, cancels, users, wake };
  const sync = new ReplicaSync(ctx, membership, wake);

  let watchedAt = monotonicNow();
  /** How late this task runs tells how far the process is behind. */
  const watchLoop = (): void => {
    const now = monotonicNow();
    ctx.loopLag.observe(now - watchedAt - PAUSE_CHECK_MS, now);
    watchedAt = now;
    owner.detectPause();
  };

  const standing = new AvailabilityMonitor(ctx, membership, owner, connections.peers);

  const stats = async (): Promise<void> => {
    const { rss, heapUsed } = process.memoryUsage();
    const cpu = process.cpuUsage();
    log.info("stats", {
      jobs: ctx.replica.accepted.size,
      machines: ctx.replica.machines.size,
      owner: owner.stats(),
      cancels: cancels.stats(),
      ...(loadSpread.stats() === undefined ? {} : { loadSpread: loadSpread.stats() }),
      ...(membership.isLeader() ? { leader: leader.stats() } : {}),
      state: ctx.store.counters,
      questions: users.stats(),
      lagMs: Math.round(ctx.loopLag.recentMs(monotonicNow())),
      timesMs: await ctx.metrics.drain(),
      rssMb: Math.round(rss / 1e6),
      heapMb: Math.round(heapUsed / 1e6),
      cpuMs: Math.round((cpu.user + cpu.system) / 1000),
    });
  };

  return {
    front: frontHandler(parts),
    peer: peerHandler(parts),
    tasks: [
      periodicTask("pauses", PAUSE_CHECK_MS, async () => watchLoop()),
      periodicTask("lease", Math.floor(operators.memberLeaseMs / 4), () =>
        membership.maintainLease(),
      ),
      periodicTask("membership", MEMBERSHIP_MS, () => membership.reconcile()),
      periodicTask("standing", STANDING_MS, () => standing.update()),
      periodicTask("adopt", ADOPT_MS, () => leader.adoptAll()),
      periodicTask("cancels", CANCELS_MS, () => cancels.reconcile()),
      periodicTask("watch", operators.watchPauseMs, () => sync.follow()),
      periodicTask("rounds", MIN_ROUND_GAP_MS, () => rounds.run(() => owner.runRound())),
      periodicTask("cloud", operators.fleetPeriodMs, () => leader.callCloud()),
      periodicTask("failing", FAILING_EVERY_MS, () => leader.reportFailingJobs()),
      periodicTask(
        "rebalance",
        REBALANCE_MS,
        withProportionalRest(REBALANCE_REST, () => leader.rebalance()),
      ),
      periodicTask(
        "fleet",
        operators.fleetPeriodMs,
        withProportionalRest(PLAN_REST, () => {
          const planned = leader.plan();
          // Spans of a time at which load spreading was on are drained home.
          const leftOver = !packages.loadSpread.enabled && ctx.quotas.divided;
          return leftOver ? planned.then(() => loadSpread.tick()) : planned;
        }),
      ),
      ...(packages.loadSpread.enabled
        ? [
            periodicTask(
              "load-spread",
              packages.loadSpread.periodMs,
              withProportionalRest(PLAN_REST, () => loadSpread.tick()),
            ),
          ]
        : []),
      periodicTask("stats", operators.statsPeriodS * 1000, stats),
    ],
    stop: () => {
      ctx.stopping = true;
      for (const c of Object.values(connections)) c.close();
    },
  };
};
