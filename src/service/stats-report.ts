/**
 * The `stats` log event: what an on-call engineer looks at first.
 *
 * Nothing here has state, but writing the report empties the metrics: `timesMs` covers the time
 * since the report before. All counters else are totals since the start.
 */
import { monotonicNow } from "../transport/clock.js";
import type { LoadSpreadLoader } from "./load-spread-loader.js";
import type { Parts } from "./routes.js";

/** The parts that report counters. */
export interface ReportedParts extends Parts {
  readonly loadSpread: LoadSpreadLoader;
}

const BYTES_PER_MB = 1e6;
const MICROSECONDS_PER_MS = 1000;

/** Logs one report; `leader` is in it only while this controller leads. */
export const reportStats = async (parts: ReportedParts): Promise<void> => {
  const { ctx, membership, owner, leader, cancels, users, loadSpread } = parts;
  const { rss, heapUsed } = process.memoryUsage();
  const cpu = process.cpuUsage();
  const loadSpreadStats = loadSpread.stats();
  ctx.log.info("stats", {
    jobs: ctx.replica.acceptedJobs.size,
    machines: ctx.replica.machines.size,
    owner: owner.stats(),
    cancellations: cancels.stats(),
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
