/**
 * The composition root: which parts make one controller, and what each of them is given.
 *
 * Nothing runs here. All parts live as long as the controller; whoever makes one starts its tasks
 * and servers, and calls `stop` when they have ended. The order of construction is kept, since parts
 * read the clock and the settings as they are made.
 */
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
import { controllerTasks } from "./controller-tasks.js";
import { EventLoopWatch } from "./event-loop-watch.js";
import { LoadSpreadLoader } from "./load-spread-loader.js";
import type { PeriodicTask } from "./periodic-task.js";
import { ReplicaSync } from "./replica-sync.js";
import { RoundLoop } from "./round-loop.js";
import { frontHandler, peerHandler } from "./routes.js";
import { UserApi } from "./user-api.js";

/** What a controller reaches other hosts through, by the kind of host. Whoever opens them closes them. */
export interface Connections {
  readonly state: HttpClient;
  readonly cloud: HttpClient;
  readonly workers: HttpClient;
  readonly peers: HttpClient;
}

/** A controller that is put together, and does nothing yet. */
export interface Controller {
  /** Answers users, workers and the load balancer. */
  readonly frontHandler: RequestHandler;
  /** Answers the other controllers. */
  readonly peerHandler: RequestHandler;
  /** To be started in this order. */
  readonly tasks: readonly PeriodicTask[];
  /** Has its parts begin nothing more; the connections are closed by whoever opened them. */
  readonly stop: () => void;
}

/** What one controller is made of. */
interface ControllerInputs {
  readonly settings: Settings;
  readonly operators: Operators;
  readonly log: Logger;
  readonly connections: Connections;
  readonly incarnation: Incarnation;
  readonly random: () => number;
}

const makeContext = (inputs: ControllerInputs): ControllerContext => {
  const { settings, operators, log, connections, incarnation, random } = inputs;
  const members = settings.seeds.length + 1;
  const replica = new Replica(settings.shardCount);
  const teams = new Map(settings.teams.map((team) => [team.name, team]));
  return {
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
    // Half of its lease: after a longer pause it may have expired, and others own its shards.
    pauseDetector: new PauseDetector(monotonicNow(), operators.memberLeaseMs / 2),
    eventLoopLag: new EventLoopLag(),
    isReplicaSynced: false,
    isShuttingDown: false,
  };
};

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
  const { cloud, peers, workers } = connections;
  const ctx = makeContext({ settings, operators, log, connections, incarnation, random });

  const rounds = new RoundLoop(operators.maxRoundPauseMs);
  const wake = (): void => rounds.wake();
  const membership: Membership = new Membership(ctx, () => owner.channel.canReachMachines());
  const owner: ShardOwner = new ShardOwner(ctx, membership, workers, wake);
  const leader = new Leader(ctx, membership, owner, cloud, peers, workers);
  const cancellations = new Cancellations(ctx, membership, owner, cloud, peers, workers);
  const users = new UserApi(ctx, membership, wake, (notice) => cancellations.confirm(notice));
  const loadSpread = new LoadSpreadLoader(ctx, membership, owner, packages.loadSpread, leader);
  const sync = new ReplicaSync(ctx, membership, wake);
  const eventLoopWatch = new EventLoopWatch(ctx, owner);
  const availability = new AvailabilityMonitor(ctx, membership, owner, peers);

  const components = { ctx, membership, owner, leader, cancellations, users, wake };
  return {
    frontHandler: frontHandler(components),
    peerHandler: peerHandler(components),
    tasks: controllerTasks({
      ...components,
      ...{ operators, packages, loadSpread, eventLoopWatch, availability, sync, rounds },
    }),
    stop: () => {
      ctx.isShuttingDown = true;
    },
  };
};
