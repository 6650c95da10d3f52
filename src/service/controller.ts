/**
 * The composition root: constructs the components of one controller and connects them.
 *
 * Nothing is started here. All components live as long as the controller; the caller starts the
 * tasks and servers, and calls `stop` after they have ended. The order of construction matters,
 * since components read the clock and the settings in their constructors.
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

/** HTTP clients by kind of host. The caller that opens them closes them. */
export interface Connections {
  readonly state: HttpClient;
  readonly cloud: HttpClient;
  readonly workers: HttpClient;
  readonly peers: HttpClient;
}

/** A constructed controller that has not been started. */
export interface Controller {
  /** Handles requests from users, workers and the load balancer. */
  readonly frontHandler: RequestHandler;
  /** Handles requests from the other controllers. */
  readonly peerHandler: RequestHandler;
  /** Must be started in this order. */
  readonly tasks: readonly PeriodicTask[];
  /** Makes the components start no further work. Doesn't close the connections. */
  readonly stop: () => void;
}

/** The inputs from which one controller is constructed. */
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
  const controllerCount = settings.seeds.length + 1;
  const replica = new Replica(settings.shardCount);
  const teams = new Map(settings.teams.map((team) => [team.name, team]));
  return {
    settings,
    teams,
    quotas: new ShardQuotas(replica, teams),
    operators,
    store: new StateStore(
      settings.stateAddress,
      settings.state,
      connections.state,
      controllerCount,
    ),
    replica,
    self: { label: settings.label, incarnation },
    log,
    random,
    metrics: new Metrics(),
    // Half of the member lease: after a longer pause the lease may have expired, and then other
    // controllers own the shards.
    pauseDetector: new PauseDetector(monotonicNow(), operators.memberLeaseMs / 2),
    eventLoopLag: new EventLoopLag(),
    isReplicaSynced: false,
    isShuttingDown: false,
  };
};

/** Constructs all components of one controller; the caller runs the tasks and the servers. */
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
