/**
 * Runs one controller as a process: connections, servers and timers around the parts.
 *
 * All of these belong to one scope, which closes them in the reverse order of their opening: first
 * no more tasks start, then no more requests are let in, then the parts stop, and last the
 * connections are closed.
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
import { divideSockets, type SocketBudget } from "../transport/sockets.js";
import { type Connections, type Controller, makeController } from "./controller.js";
import { type PeriodicTask, startPeriodic } from "./periodic-task.js";

/** A server could not listen: the address is taken, or isn't this host's. */
export class ListenError extends Data.TaggedError("ListenError")<{
  /** Host and port, as in the settings. */
  readonly address: string;
  /** Node's code, such as `EADDRINUSE`. */
  readonly code: string | undefined;
  readonly message: string;
  readonly cause: Error;
}> {}

/** Connections to one host of the kinds of which there are several. */
const MAX_PER_HOST = 2;

const openConnections = (parts: SocketBudget): Connections => ({
  state: new PooledHttpClient(parts.stateStore, parts.stateStore),
  cloud: new PooledHttpClient(parts.cloud, parts.cloud),
  peers: new PooledHttpClient(MAX_PER_HOST, parts.peers),
  workers: new PooledHttpClient(MAX_PER_HOST, parts.workerCalls, parts.idleWorkerConnections),
});

/** Each kind of host has its part of the sockets, so that none can take them all. */
const scopedConnections = (parts: SocketBudget): Effect.Effect<Connections, never, Scope.Scope> =>
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

/** Starts the tasks in their order. A failure of one is logged, and the task runs again. */
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

/** One whole controller over HTTP; runs until its scope closes. */
export const runController = (
  settings: Settings,
  operators: Operators,
  packages: PackageSettings,
  log: Logger,
): Effect.Effect<never, ListenError, Scope.Scope> =>
  Effect.gen(function* () {
    const members = settings.seeds.length + 1;
    const parts = divideSockets(settings.resources.maxSockets, members);
    // The incarnation is new at each start, and seeds the random draws.
    const uuid = randomUUID();
    const generator = xoroshiro128plus(Number.parseInt(uuid.slice(0, 8), 16));
    const random = (): number => uniformFloat64(generator);
    const connections = yield* scopedConnections(parts);
    const controller = yield* scopedController(() =>
      makeController(settings, operators, packages, log, connections, incarnation(uuid), random),
    );
    const front = makeServer(controller.front, parts.front, log);
    yield* scopedListening(front, settings.frontAddress, parts.frontBacklog);
    const internal = makeServer(controller.peer, parts.internal, log);
    yield* scopedListening(internal, settings.internalAddress, parts.internal);
    yield* scopedTasks(controller.tasks, log);
    return yield* Effect.never;
  });
