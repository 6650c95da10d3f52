import { randomUUID } from "node:crypto";
import type http from "node:http";
import { incarnation } from "@umberfold/ids";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Operators } from "../config/operators.js";
import type { PackageSettings } from "../config/packages.js";
import type { Settings } from "../config/settings.js";
import type { Logger } from "../observability/log.js";
import { PooledHttpClient } from "../transport/client.js";
import { makeServer } from "../transport/server.js";
import { socketParts } from "../transport/sockets.js";
import { makeController } from "./controller.js";
import { type PeriodicTask, startPeriodic } from "./periodic-task.js";

const listen = (server: http.Server, address: string, backlog: number) =>
  Effect.acquireRelease(
    Effect.callback<http.Server, Error>((resume) => {
      const at = address.lastIndexOf(":");
      server.once("error", (e) => resume(Effect.fail(e)));
      server.listen(Number(address.slice(at + 1)), address.slice(0, at), backlog, () =>
        resume(Effect.succeed(server)),
      );
    }),
    (s) => Effect.sync(() => s.close()),
  );

const failureOf = (task: PeriodicTask, log: Logger) => (error: unknown) =>
  log.error(`${task.name} failed`, { error: String(error) });

/** One whole controller over HTTP; runs until its scope closes. */
export const runController = (
  settings: Settings,
  operators: Operators,
  packages: PackageSettings,
  log: Logger,
): Effect.Effect<never, Error, Scope.Scope> =>
  Effect.gen(function* () {
    const { maxSockets } = settings.resources;
    const members = settings.seeds.length + 1;
    const seed = randomUUID();
    const rng = xoroshiro128plus(Number.parseInt(seed.slice(0, 8), 16));
    // Each kind of host has its part of the sockets, so that none can take them all.
    const parts = socketParts(maxSockets, members);
    const connections = {
      state: new PooledHttpClient(parts.state, parts.state),
      cloud: new PooledHttpClient(parts.cloud, parts.cloud),
      peers: new PooledHttpClient(2, parts.peers),
      workers: new PooledHttpClient(2, parts.workers, parts.idleWorkers),
    };
    const node = yield* Effect.acquireRelease(
      Effect.sync(() =>
        makeController(settings, operators, packages, log, connections, incarnation(seed), () =>
          uniformFloat64(rng),
        ),
      ),
      (n) => Effect.sync(n.stop),
    );
    yield* listen(
      makeServer(node.front, parts.front, log),
      settings.frontAddress,
      parts.frontBacklog,
    );
    yield* listen(makeServer(node.peer, parts.inner, log), settings.internalAddress, parts.inner);

    yield* Effect.acquireRelease(
      Effect.sync(() => node.tasks.map((task) => startPeriodic(task, failureOf(task, log)))),
      (stops) =>
        Effect.sync(() => {
          for (const stop of stops) stop();
        }),
    );
    return yield* Effect.never;
  });
