import type { Operators } from "../cli/operators.js";
import type { Settings } from "../cli/settings.js";
import { Cancellations } from "../coordination/cancels.js";
import type { Context } from "../coordination/context.js";
import { Leader } from "../coordination/leader.js";
import { Membership, NO_ANSWERS, type PeerAnswers } from "../coordination/membership.js";
import { PauseDetector } from "../coordination/pause-detector.js";
import { ShardOwner } from "../coordination/shard-owner.js";
import type { Logger } from "../observability/log.js";
import { Metrics } from "../observability/metrics.js";
import type { Incarnation } from "../protocol/ids.js";
import { decodePeer } from "../protocol/peer.js";
import { classify, NOW } from "../storage/records.js";
import { Replica } from "../storage/replica.js";
import { Store } from "../storage/store.js";
import type { Calls } from "../transport/client.js";
import { sleep, steadyNow } from "../transport/clock.js";
import { type Answer, decodeBody, type Handler } from "../transport/server.js";
import { type PeriodicTask, periodicTask, rested } from "./periodic-task.js";
import { Users } from "./users.js";

const WATCH_MS = 10_000;
const RETRY_MS = 200;
const MEMBERSHIP_MS = 250;
const MIN_ROUND_GAP_MS = 15;
const STANDING_MS = 400;
const ADOPT_MS = 400;
const REBALANCE_MS = 200;
/** How many times as long as it took a rebalance rests. */
const REBALANCE_REST = 5;
const CANCELS_MS = 500;
const FAILING_EVERY_MS = 2000;
const PEER_MS = 800;
const SERVED_PATH = "/served";
const HEARTBEATS_PATH = "/hears";
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

  const front: Handler = (req) => {
    const { method, path } = req;
    if (path === "/agent/beat") {
      if (method !== "POST") return { status: 405 };
      const d = decodeBody(req.bytes);
      if (!d.ok) return { status: 400, body: { error: "not CBOR" } };
      return owner.heartbeat(d.value, (r) => leader.adopt(r));
    }
    if (path === "/ready") return method === "GET" ? users.ready() : { status: 405 };
    if (path === "/work") return method === "POST" ? users.submit(req.bytes) : { status: 405 };
    const parts = path.split("/");
    if (parts[1] === "work" && parts.length === 3)
      return method === "GET" ? users.poll(parts[2] ?? "") : { status: 405 };
    if (parts[1] === "work" && parts.length === 4 && parts[3] === "withdraw")
      return method === "POST" ? users.cancel(parts[2] ?? "") : { status: 405 };
    return { status: 404, body: { error: "unknown path" } };
  };

  const inner: Handler = (req): Answer => {
    // Whether the state service serves us: for one that it refuses, to tell its own trouble.
    if (req.path === SERVED_PATH) return { status: ctx.synced && !ctx.store.failing() ? 204 : 503 };
    if (req.path === HEARTBEATS_PATH) {
      const heard =
        ctx.synced && membership.entitled() ? owner.channel.receivesHeartbeats() : undefined;
      return { status: heard === undefined ? 404 : heard ? 204 : 503 };
    }
    if (req.path !== "/peer") return { status: 404 };
    if (req.method !== "POST") return { status: 405 };
    try {
      const m = decodePeer(req.bytes);
      for (const x of m.moves) owner.requestMove(x);
      for (const id of m.retire) owner.requestRetire(id, m.reason);
      // Not yet knowing what it holds, it could not say that it will see to it.
      if (m.cancelled.length > 0 && !ctx.synced) return { status: 503 };
      cancels.heard(m.cancelled);
      leader.noteFailing(m.failing);
      wake();
      return { status: 204 };
    } catch {
      log.info("malformed peer message", {});
      return { status: 400 };
    }
  };

  const rescan = async (): Promise<boolean> => {
    const scan = await ctx.store.scan(NOW);
    if (scan === undefined) return false;
    ctx.replica.reset(scan.items, scan.rev);
    return true;
  };

  const reconcileSoon = (): void => {
    wake();
    membership.reconcile().catch((e) => log.error("membership failed", { error: String(e) }));
  };

  const follow = async (): Promise<void> => {
    if (!ctx.synced) {
      if (!(await rescan())) return sleep(RETRY_MS);
      ctx.synced = true;
      log.info("synced", { rev: ctx.replica.position, jobs: ctx.replica.accepted.size });
      reconcileSoon();
    }
    const w = await ctx.store.watch(NOW, ctx.replica.position, WATCH_MS);
    if (w.kind === "unavailable") return sleep(RETRY_MS);
    if (w.kind === "too_old") {
      await rescan();
      return;
    }
    let others = 0;
    for (const c of w.changes) {
      // What is news is not ours: our own is taken in when it is answered.
      if (c.rev <= ctx.replica.rev(c.key)) continue;
      // The end of a job also writes its final record, which no watch shows.
      others += c.kind === "delete" && classify(c.key).kind === "live" ? 2 : 1;
      ctx.replica.apply(c);
    }
    membership.othersWrote(others);
    ctx.replica.advance(w.rev);
    if (w.changes.length > 0) reconcileSoon();
  };

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
    // As long as was decided for, what happens gathers into a wider batch: however much there is to
    // decide, reports, users and leases keep half of the processor.
    const restUntil = steadyNow() + Math.min(operators.roundMs, steadyNow() - began);
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
      timesMs: await ctx.metrics.drain(),
      rssMb: Math.round(rss / 1e6),
      heapMb: Math.round(heapUsed / 1e6),
      cpuMs: Math.round((cpu.user + cpu.system) / 1000),
    });
  };

  return {
    front,
    inner,
    tasks: [
      periodicTask("pauses", PAUSE_CHECK_MS, async () => owner.detectPause()),
      periodicTask("lease", Math.floor(operators.memberLeaseMs / 4), () => membership.keepLease()),
      periodicTask("membership", MEMBERSHIP_MS, () => membership.reconcile()),
      periodicTask("standing", STANDING_MS, updateStanding),
      periodicTask("adopt", ADOPT_MS, () => leader.adoptAll()),
      periodicTask("cancels", CANCELS_MS, () => cancels.reconcile()),
      periodicTask("watch", operators.watchPauseMs, follow),
      periodicTask("rounds", MIN_ROUND_GAP_MS, rounds),
      periodicTask("cloud", operators.fleetPeriodMs, () => leader.callCloud()),
      periodicTask("failing", FAILING_EVERY_MS, () => leader.tellFailing()),
      periodicTask(
        "rebalance",
        REBALANCE_MS,
        rested(REBALANCE_REST, () => leader.rebalance()),
      ),
      periodicTask("fleet", operators.fleetPeriodMs, () => leader.plan()),
      periodicTask("stats", operators.statsPeriodS * 1000, stats),
    ],
    stop: () => {
      ctx.stopping = true;
      for (const c of Object.values(connections)) c.close();
    },
  };
};
