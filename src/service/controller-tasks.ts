/**
 * The table of a controller's periodic tasks: which part does what, and how often.
 *
 * Nothing here has state. The order of the table is the order in which the tasks first run, and the
 * simulation depends on it. Each task runs again its period after it last ended, so that none ever
 * overlaps itself; a task's name is what `periodic task failed` says.
 */
import type { Operators } from "../config/operators.js";
import type { PackageSettings } from "../config/packages.js";
import type { AvailabilityMonitor } from "./availability-monitor.js";
import { type EventLoopWatch, PAUSE_CHECK_MS } from "./event-loop-watch.js";
import { type PeriodicTask, periodicTask, withProportionalRest } from "./periodic-task.js";
import type { ReplicaSync } from "./replica-sync.js";
import type { RoundLoop } from "./round-loop.js";
import { type ReportedParts, reportStats } from "./stats-report.js";

/** A lease is renewed so many times before it would expire. */
const RENEWALS_PER_LEASE = 4;
const MEMBERSHIP_MS = 250;
const AVAILABILITY_MS = 400;
const ADOPTION_MS = 400;
const CANCELLATIONS_MS = 500;
/**
 * What happens within this time is decided together. A round costs much the same whether one
 * machine has changed or ten; at 15 ms rounds took a quarter of a controller's processor time.
 */
const MIN_ROUND_GAP_MS = 50;
const FAILING_JOBS_MS = 2000;
const REBALANCE_MS = 200;
/** How many times as long as they took a rebalance and a plan of the fleet rest. */
const REBALANCE_REST = 10;
const PLAN_REST = 10;
const MS_PER_S = 1000;

/** The parts whose work is periodic. */
export interface PeriodicParts extends ReportedParts {
  readonly operators: Operators;
  readonly packages: PackageSettings;
  readonly eventLoopWatch: EventLoopWatch;
  readonly availability: AvailabilityMonitor;
  readonly sync: ReplicaSync;
  readonly rounds: RoundLoop;
}

/** Plans the fleet; spans of a time at which load spreading was on are drained home as well. */
const planFleet = ({ ctx, leader, loadSpread, packages }: PeriodicParts): Promise<void> => {
  const planned = leader.plan();
  const hasLeftOverSpans = !packages.loadSpread.enabled && ctx.quotas.hasDividedQuotas;
  return hasLeftOverSpans ? planned.then(() => loadSpread.tick()) : planned;
};

const loadSpreadTasks = ({ packages, loadSpread }: PeriodicParts): readonly PeriodicTask[] => {
  const { enabled, periodMs } = packages.loadSpread;
  const tick = withProportionalRest(PLAN_REST, () => loadSpread.tick());
  return enabled ? [periodicTask("load-spread", periodMs, tick)] : [];
};

/** All periodic tasks of a controller, in the order in which they are to be started. */
export const controllerTasks = (parts: PeriodicParts): readonly PeriodicTask[] => {
  const { operators, membership, availability, leader, cancels, sync, rounds, owner } = parts;
  const renewalMs = Math.floor(operators.memberLeaseMs / RENEWALS_PER_LEASE);
  const rebalance = withProportionalRest(REBALANCE_REST, () => leader.rebalance());
  const plan = withProportionalRest(PLAN_REST, () => planFleet(parts));
  return [
    periodicTask("pauses", PAUSE_CHECK_MS, async () => parts.eventLoopWatch.check()),
    periodicTask("lease", renewalMs, () => membership.maintainLease()),
    periodicTask("membership", MEMBERSHIP_MS, () => membership.reconcile()),
    periodicTask("availability", AVAILABILITY_MS, () => availability.update()),
    periodicTask("adoption", ADOPTION_MS, () => leader.adoptMachines()),
    periodicTask("cancellations", CANCELLATIONS_MS, () => cancels.reconcile()),
    periodicTask("watch", operators.watchPauseMs, () => sync.follow()),
    periodicTask("rounds", MIN_ROUND_GAP_MS, () => rounds.run(() => owner.runRound())),
    periodicTask("cloud", operators.fleetPeriodMs, () => leader.callCloud()),
    periodicTask("failing-jobs", FAILING_JOBS_MS, () => leader.reportFailingJobs()),
    periodicTask("rebalance", REBALANCE_MS, rebalance),
    periodicTask("fleet", operators.fleetPeriodMs, plan),
    ...loadSpreadTasks(parts),
    periodicTask("stats", operators.statsPeriodS * MS_PER_S, () => reportStats(parts)),
  ];
};
