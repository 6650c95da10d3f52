/**
 * The table of a controller's periodic tasks: what each runs, and how often.
 *
 * Stateless. The tasks first run in the order of the table, and the simulation depends on that
 * order. A period is measured from the end of one run to the start of the next, so that a task
 * never overlaps itself. The log event `periodic task failed` contains the task's name.
 */
import type { Operators } from "../config/operators.js";
import type { PackageSettings } from "../config/packages.js";
import type { AvailabilityMonitor } from "./availability-monitor.js";
import { type EventLoopWatch, PAUSE_CHECK_PERIOD_MS } from "./event-loop-watch.js";
import { type PeriodicTask, periodicTask, withProportionalRest } from "./periodic-task.js";
import type { ReplicaSync } from "./replica-sync.js";
import type { RoundLoop } from "./round-loop.js";
import { type ReportedComponents, reportStats } from "./stats-report.js";

/** Number of renewals within the duration of a member lease. */
const RENEWALS_PER_LEASE = 4;
const MEMBERSHIP_PERIOD_MS = 250;
const AVAILABILITY_PERIOD_MS = 400;
const ADOPTION_PERIOD_MS = 400;
const CANCELLATIONS_PERIOD_MS = 500;
/**
 * Pause between two rounds, in which changes are collected for one batch. A round costs about the
 * same for one changed machine as for ten; at 15 ms rounds took a quarter of a controller's
 * processor time.
 */
const MIN_ROUND_PAUSE_MS = 50;
const FAILING_JOBS_PERIOD_MS = 2000;
const REBALANCE_PERIOD_MS = 200;
/** Rest after a rebalance and after a fleet plan, as a multiple of the time that it took. */
const REBALANCE_REST_FACTOR = 10;
const PLAN_REST_FACTOR = 10;
const MS_PER_S = 1000;

/** The components that the periodic tasks use. */
export interface TaskComponents extends ReportedComponents {
  readonly operators: Operators;
  readonly packages: PackageSettings;
  readonly eventLoopWatch: EventLoopWatch;
  readonly availability: AvailabilityMonitor;
  readonly sync: ReplicaSync;
  readonly rounds: RoundLoop;
}

/**
 * Plans the fleet. If load spreading is off but spans remain from when it was on, also runs load
 * spreading, which moves their jobs back to the teams' home shards and dissolves the spans.
 */
const planFleet = ({ ctx, leader, loadSpread, packages }: TaskComponents): Promise<void> => {
  const planned = leader.plan();
  const hasSpansToDissolve = !packages.loadSpread.enabled && ctx.quotas.hasDividedQuotas;
  return hasSpansToDissolve ? planned.then(() => loadSpread.tick()) : planned;
};

const loadSpreadTasks = ({ packages, loadSpread }: TaskComponents): readonly PeriodicTask[] => {
  const { enabled, periodMs } = packages.loadSpread;
  const tick = withProportionalRest(PLAN_REST_FACTOR, () => loadSpread.tick());
  return enabled ? [periodicTask("load-spread", periodMs, tick)] : [];
};

/** All periodic tasks of a controller, in the order in which they must be started. */
export const controllerTasks = (components: TaskComponents): readonly PeriodicTask[] => {
  const { operators, membership, availability, leader, cancellations, sync, rounds, owner } =
    components;
  const renewalMs = Math.floor(operators.memberLeaseMs / RENEWALS_PER_LEASE);
  const rebalance = withProportionalRest(REBALANCE_REST_FACTOR, () => leader.rebalance());
  const plan = withProportionalRest(PLAN_REST_FACTOR, () => planFleet(components));
  return [
    periodicTask("pauses", PAUSE_CHECK_PERIOD_MS, async () => components.eventLoopWatch.check()),
    periodicTask("lease", renewalMs, () => membership.maintainLease()),
    periodicTask("membership", MEMBERSHIP_PERIOD_MS, () => membership.reconcile()),
    periodicTask("availability", AVAILABILITY_PERIOD_MS, () => availability.update()),
    periodicTask("adoption", ADOPTION_PERIOD_MS, () => leader.adoptMachines()),
    periodicTask("cancellations", CANCELLATIONS_PERIOD_MS, () => cancellations.reconcile()),
    periodicTask("watch", operators.watchPauseMs, () => sync.syncOnce()),
    periodicTask("rounds", MIN_ROUND_PAUSE_MS, () => rounds.run(() => owner.runRound())),
    periodicTask("cloud", operators.fleetPeriodMs, () => leader.callCloud()),
    periodicTask("failing-jobs", FAILING_JOBS_PERIOD_MS, () => leader.reportFailingJobs()),
    periodicTask("rebalance", REBALANCE_PERIOD_MS, rebalance),
    periodicTask("fleet", operators.fleetPeriodMs, plan),
    ...loadSpreadTasks(components),
    periodicTask("stats", operators.statsPeriodS * MS_PER_S, () => reportStats(components)),
  ];
};
