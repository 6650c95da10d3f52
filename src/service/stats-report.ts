/**
 * The `stats` log event, the first thing that an on-call engineer reads.
 *
 * Stateless, but each report drains the metrics: `timesMs` covers the time since the previous
 * report. All other counters are totals since the start.
 */
import { monotonicNow } from "../transport/clock.js";
import type { LoadSpreadLoader } from "./load-spread-loader.js";
import type { ControllerComponents } from "./routes.js";

/** The components whose counters a report contains. */
export interface ReportedComponents extends ControllerComponents {
  readonly loadSpread: LoadSpreadLoader;
}

const BYTES_PER_MB = 1e6;
const MICROSECONDS_PER_MS = 1000;

/** Logs one report; it contains `leader` only while this controller is the leader. */
export const reportStats = async (components: ReportedComponents): Promise<void> => {
  const { ctx, membership, owner, leader, cancellations, users, loadSpread } = components;
  const { rss, heapUsed } = process.memoryUsage();
  const cpu = process.cpuUsage();
  const loadSpreadStats = loadSpread.stats();
  ctx.log.info("stats", {
    jobs: ctx.replica.acceptedJobs.size,
    machines: ctx.replica.machines.size,
    owner: owner.stats(),
    cancellations: cancellations.stats(),
    ...(loadSpreadStats === undefined ? {} : { loadSpread: loadSpreadStats }),
    ...(membership.isLeader() ? { leader: leader.stats() } : {}),
    stateStore: ctx.store.counters,
    jobLookups: users.stats(),
    lagMs: Math.round(ctx.eventLoopLag.recentLagMs(monotonicNow())),
    timesMs: await ctx.metrics.drain(),
    rssMb: Math.round(rss / BYTES_PER_MB),
    heapMb: Math.round(heapUsed / BYTES_PER_MB),
    cpuMs: Math.round((cpu.user + cpu.system) / MICROSECONDS_PER_MS),
  });
};
