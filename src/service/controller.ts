import { randomUUID } from "node:crypto";
import type http from "node:http";
import * as Effect from "effect/Effect";
import * as Schedule from "effect/Schedule";
import type * as Scope from "effect/Scope";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Operators } from "../cli/operators.js";
import type { Settings } from "../cli/settings.js";
import { Holder } from "../coordination/holder.js";
import { Leader } from "../coordination/leader.js";
import { Membership } from "../coordination/membership.js";
import { incarnation } from "../protocol/ids.js";
import { decodePeer } from "../protocol/peer.js";
import { NOW } from "../storage/records.js";
import { Replica } from "../storage/replica.js";
import { Store, sleep } from "../storage/store.js";
import { Caller } from "../transport/client.js";
import { type Answer, decodeBody, type Handler, makeServer } from "../transport/server.js";
import type { Context } from "./context.js";
import type { Logger } from "./log.js";
import { Users } from "./users.js";

const WATCH_MS = 10_000;
const MIN_ROUND_GAP_MS = 15;

const listen = (server: http.Server, address: string) =>
  Effect.acquireRelease(
    Effect.callback<http.Server, Error>((resume) => {
      const at = address.lastIndexOf(":");
      server.once("error", (e) => resume(Effect.fail(e)));
      server.listen(Number(address.slice(at + 1)), address.slice(0, at), () =>
        resume(Effect.succeed(server)),
      );
    }),
    (s) => Effect.sync(() => s.close()),
  );

/** One whole controller; runs until its scope closes. */
export const runController = (
  settings: Settings,
  operators: Operators,
  log: Logger,
): Effect.Effect<never, Error, Scope.Scope> =>
  Effect.gen(function* () {
    const { maxSockets } = settings.resources;
    const members = settings.seeds.length + 1;
    const seed = randomUUID();
    const rng = xoroshiro128plus(Number.parseInt(seed.slice(0, 8), 16));
    const ctx: Context = {
      settings,
      teams: new Map(settings.teams.map((t) => [t.name, t])),
      operators,
      store: new Store(settings.stateAddress, settings.state, 24, members),
      replica: new Replica(),
      me: { label: settings.label, incarnation: incarnation(seed) },
      log,
      random: () => uniformFloat64(rng),
      synced: false,
      stopping: false,
    };
    // Sockets: half for users and workers, the rest for calls of ours.
    const workers = new Caller(2, Math.max(8, Math.floor(maxSockets * 0.25)));
    const cloud = new Caller(2, 4);
    const peers = new Caller(2, 2 * members);
    let roundDue = true;
    let wakeRounds: (() => void) | undefined;
    const wake = (): void => {
      roundDue = true;
      wakeRounds?.();
    };
    const membership = new Membership(ctx);
    const holder = new Holder(ctx, membership, workers, wake);
    const leader = new Leader(ctx, membership, holder, cloud, peers);
    const users = new Users(ctx, membership, wake);
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        ctx.stopping = true;
        for (const c of [workers, cloud, peers]) c.close();
        ctx.store.close();
      }),
    );

    const front: Handler = (req) => {
      const { method, path } = req;
      if (path === "/agent/beat") {
        if (method !== "POST") return { status: 405 };
        const d = decodeBody(req.bytes);
        if (!d.ok) return { status: 400, body: { error: "not CBOR" } };
        return holder.beat(d.value, (r) => leader.adopt(r));
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
      if (req.path !== "/peer") return { status: 404 };
      if (req.method !== "POST") return { status: 405 };
      try {
        const m = decodePeer(req.bytes);
        for (const x of m.moves) holder.requestMove(x);
        for (const id of m.retire) holder.requestRetire(id);
        wake();
        return { status: 204 };
      } catch {
        log.info("malformed peer message", {});
        return { status: 400 };
      }
    };
    yield* listen(makeServer(front, Math.floor(maxSockets * 0.6), log), settings.front);
    yield* listen(
      makeServer(inner, Math.max(8, Math.floor(maxSockets * 0.05)), log),
      settings.internal,
    );

    /** A failed pass is logged and tried again: nothing that goes wrong in one ends the process. */
    const every = (name: string, ms: number, pass: () => Promise<unknown>) =>
      Effect.tryPromise(pass).pipe(
        Effect.catch((e) =>
          Effect.sync(() => log.error(`${name} failed`, { error: String(e.cause ?? e) })),
        ),
        Effect.repeat(Schedule.spaced(ms)),
      );

    const follow = async (): Promise<void> => {
      if (!ctx.synced) {
        const scan = await ctx.store.scan(NOW);
        if (scan === undefined) {
          await sleep(200);
          return;
        }
        ctx.replica.reset(scan.items, scan.rev);
        ctx.synced = true;
        log.info("synced", { rev: scan.rev, jobs: ctx.replica.jobs.size });
        wake();
        void membership.tend().catch(() => undefined);
      }
      const w = await ctx.store.watch(NOW, ctx.replica.position, WATCH_MS);
      if (w.kind === "unavailable") {
        await sleep(200);
        return;
      }
      if (w.kind === "too_old") {
        const scan = await ctx.store.scan(NOW);
        if (scan !== undefined) ctx.replica.reset(scan.items, scan.rev);
        return;
      }
      for (const c of w.changes) ctx.replica.apply(c);
      ctx.replica.advance(w.rev);
      if (w.changes.length > 0) {
        wake();
        void membership.tend().catch(() => undefined);
      }
    };

    const rounds = async (): Promise<void> => {
      if (!roundDue) {
        await new Promise<void>((resolve) => {
          const t = setTimeout(done, operators.roundMs);
          function done(): void {
            clearTimeout(t);
            wakeRounds = undefined;
            resolve();
          }
          wakeRounds = done;
        });
      }
      roundDue = false;
      const more = await holder.round();
      if (more) roundDue = true;
    };

    const stats = async (): Promise<void> => {
      const { rss, heapUsed } = process.memoryUsage();
      log.info("stats", {
        jobs: ctx.replica.jobs.size,
        machines: ctx.replica.machines.size,
        holder: holder.stats(),
        ...(membership.leads() ? { leader: leader.stats() } : {}),
        rssMb: Math.round(rss / 1e6),
        heapMb: Math.round(heapUsed / 1e6),
        cpuMs: Math.round((process.cpuUsage().user + process.cpuUsage().system) / 1000),
      });
    };

    return yield* Effect.all(
      [
        every("lease", Math.floor(operators.memberLeaseMs / 4), () => membership.keepLease()),
        every("membership", 250, () => membership.tend()),
        every("watch", operators.watchPauseMs, follow),
        every("rounds", MIN_ROUND_GAP_MS, rounds),
        every("cloud", operators.fleetPeriodMs, () => leader.callCloud()),
        every("fleet", operators.fleetPeriodMs, () => leader.plan()),
        every("stats", operators.statsPeriodS * 1000, stats),
      ],
      { concurrency: "unbounded" },
    ).pipe(Effect.andThen(Effect.never));
  });
