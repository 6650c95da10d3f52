/**
 * Runs one controller as a process: opens its connections and servers and starts its timers.
 *
 * All of these belong to one scope, which closes them in the reverse order of opening: first the
 * periodic tasks stop, then the servers accept no more requests, then the components stop, and last
 * the connections are closed.
 */
import { randomUUID } from "node:crypto";
import type http from "node:http";
import { incarnation } from "@umberfold/ids";
import * as Data from "effect/Data";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Operators } from "../config/operators.js";
import type { PackageSettings } from "../config/packages.js";
import type { Settings } from "../config/settings.js";
import { errorFields } from "../observability/error-fields.js";
import type { Logger } from "../observability/log.js";
import { PooledHttpClient } from "../transport/client.js";
import { makeServer } from "../transport/server.js";
import { type SocketParts, socketParts } from "../transport/sockets.js";
import { type Connections, type Controller, makeController } from "./controller.js";
import { type PeriodicTask, startPeriodic } from "./periodic-task.js";

/** A server could not listen: its address is in use, or isn't an address of this host. */
export class ListenError extends Data.TaggedError("ListenError")<{
  /** Host and port, as in the settings. */
  readonly address: string;
  /** Node's code, such as `EADDRINUSE`. */
  readonly code: string | undefined;
  readonly message: string;
  readonly cause: Error;
}> {}

/** Connections per host, for other controllers and workers. */
const MAX_CONNECTIONS_PER_HOST = 2;

const openConnections = (parts: SocketParts): Connections => ({
  state: new PooledHttpClient(parts.state, parts.state),
  cloud: new PooledHttpClient(parts.cloud, parts.cloud),
  peers: new PooledHttpClient(MAX_CONNECTIONS_PER_HOST, parts.peers),
  workers: new PooledHttpClient(MAX_CONNECTIONS_PER_HOST, parts.workers, parts.idleWorkers),
});

/** Each kind of host has its own limit on sockets, so that none can use up all of them. */
const scopedConnections = (parts: SocketParts): Effect.Effect<Connections, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.sync(() => openConnections(parts)),
    (connections) =>
      Effect.sync(() => {
        for (const client of Object.values(connections)) client.close();
      }),
  );

const scopedController = (make: () => Controller): Effect.Effect<Controller, never, Scope.Scope> =>
  Effect.acquireRelease(Effect.sync(make), (controller) => Effect.sync(controller.stop));

const listenError = (address: string, cause: NodeJS.ErrnoException): ListenError =>
  new ListenError({ address, code: cause.code, message: cause.message, cause });

const scopedListening = (
  server: http.Server,
  address: string,
  backlog: number,
): Effect.Effect<http.Server, ListenError, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.callback<http.Server, ListenError>((resume) => {
      const colon = address.lastIndexOf(":");
      server.once("error", (error) => resume(Effect.fail(listenError(address, error))));
      server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), backlog, () =>
        resume(Effect.succeed(server)),
      );
    }),
    (listening) => Effect.sync(() => listening.close()),
  );

/** Starts the tasks in the given order. A failed run is logged, and the task continues. */
const scopedTasks = (
  tasks: readonly PeriodicTask[],
  log: Logger,
): Effect.Effect<unknown, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.sync(() =>
      tasks.map((task) =>
        startPeriodic(task, (error) =>
          log.error("periodic task failed", { task: task.name, ...errorFields(error) }),
        ),
      ),
    ),
    (stops) =>
      Effect.sync(() => {
        for (const stop of stops) stop();
      }),
  );

/** Runs one controller over HTTP until its scope closes. */
export const runController = (
  settings: Settings,
  operators: Operators,
  packages: PackageSettings,
  log: Logger,
): Effect.Effect<never, ListenError, Scope.Scope> =>
  Effect.gen(function* () {
    const controllerCount = settings.seeds.length + 1;
    const parts = socketParts(settings.resources.maxSockets, controllerCount);
    // Each start has a new incarnation, which also seeds the random number generator.
    const uuid = randomUUID();
    const generator = xoroshiro128plus(Number.parseInt(uuid.slice(0, 8), 16));
    const random = (): number => uniformFloat64(generator);
    const connections = yield* scopedConnections(parts);
    const controller = yield* scopedController(() =>
      makeController(settings, operators, packages, log, connections, incarnation(uuid), random),
    );
    const front = makeServer(controller.frontHandler, parts.front, log);
    yield* scopedListening(front, settings.frontAddress, parts.frontBacklog);
    const internal = makeServer(controller.peerHandler, parts.inner, log);
    yield* scopedListening(internal, settings.internalAddress, parts.inner);
    yield* scopedTasks(controller.tasks, log);
    return yield* Effect.never;
  });
