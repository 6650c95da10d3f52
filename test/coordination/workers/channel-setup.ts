/** Sets up the owner of a shard with one or more machines; the test answers its direct calls. */
import {
  controllerLabel,
  fencingToken,
  incarnation,
  type MachineId,
  machineId,
  monotonicMs,
  revision,
  shardId,
  wallClockMs,
} from "@umberfold/ids";
import type { ControllerContext } from "../../../src/coordination/context.js";
import { EventLoopLag } from "../../../src/coordination/membership/event-loop-lag.js";
import type { Membership } from "../../../src/coordination/membership/membership.js";
import { ShardState } from "../../../src/coordination/ownership/shard-state.js";
import { encodeMachinePage } from "../../../src/storage/pages.js";
import { keys, type MachineRecord } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";
import type { CallResult, HttpClient } from "../../../src/transport/client.js";

/** The ID of the owner's machine with this index, counted from 0. */
export const machineIdAt = (index: number): MachineId =>
  machineId(`m-${String(index + 1).padStart(6, "0")}`);

/** The first machine, its shard, and the owner's fencing token for it. */
export const MACHINE = machineIdAt(0);
export const SHARD = shardId(0);
export const TOKEN = fencingToken(10);

const MACHINE_RECORD: MachineRecord = {
  shard: SHARD,
  type: "small",
  zone: "a",
  spot: false,
  endpoint: "10.0.0.9:1",
  phase: "up",
  rentedAt: wallClockMs(0),
  tokenFloor: revision(TOKEN),
};

/** A direct call in flight, which the test answers. */
export interface PendingCall {
  readonly method: string;
  readonly path: string;
  readonly body: unknown;
  readonly answer: (result: CallResult) => Promise<void>;
}

/** The encoded body of a worker's status. */
export const statusBody = (
  sequence: number,
  seenToken: number,
  fields: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> => ({
  loom: MACHINE,
  endpoint: MACHINE_RECORD.endpoint,
  frame: MACHINE_RECORD.type,
  mill: MACHINE_RECORD.zone,
  shift: 1,
  tally: sequence,
  baton: seenToken,
  threads: [],
  ...fields,
});

/** Properties of the owner that a test may override. */
export interface SetupOptions {
  readonly machineCount?: number;
  readonly ownsShard?: boolean;
  readonly holdsValidLease?: boolean;
  readonly synced?: boolean;
  readonly isLeader?: boolean;
}

/** Waits until the callbacks of all promises resolved so far have run. */
const runResolvedCallbacks = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Creates the owner; records the events that it logs and the calls that it sends. */
export const setUpOwner = (options: SetupOptions = {}) => {
  const replica = new Replica();
  const events: string[] = [];
  const calls: PendingCall[] = [];
  let requestedRounds = 0;
  const membership = {
    ownedShards: () => (options.ownsShard === false ? [] : [SHARD]),
    ownsShard: () => options.ownsShard !== false,
    holdsValidLease: () => options.holdsValidLease !== false,
    isLeader: () => options.isLeader === true,
    ownerOf: () => ({ label: controllerLabel("other"), incarnation: incarnation("other-1") }),
  } as unknown as Membership;
  const log = (event: string): void => {
    events.push(event);
  };
  const ctx = {
    replica,
    isReplicaSynced: options.synced !== false,
    self: { label: controllerLabel("self"), incarnation: incarnation("self-1") },
    settings: {
      seeds: [],
      resources: { maxSockets: 512 },
      workers: { leaseS: 20, heartbeatPeriodS: 5 },
    },
    operators: { silenceTimeoutS: 6.5 },
    store: { get: () => Promise.resolve({ kind: "unavailable" }) },
    eventLoopLag: new EventLoopLag(),
    log: { info: log, error: log, debug: log },
    metrics: { record: () => undefined },
  } as unknown as ControllerContext;
  const client = {
    call: (_address: string, method: string, path: string, body: unknown) =>
      new Promise<CallResult>((resolve) => {
        const answer = (result: CallResult): Promise<void> => {
          resolve(result);
          return runResolvedCallbacks();
        };
        calls.push({ method, path, body, answer });
      }),
  } as unknown as HttpClient;
  const state = new ShardState(ctx, membership, () => {
    requestedRounds++;
  });
  const ids = Array.from({ length: options.machineCount ?? 1 }, (_, index) => machineIdAt(index));
  const rev = revision(5);
  replica.apply({
    kind: "put",
    key: keys.fleet(SHARD, "1"),
    value: encodeMachinePage(ids.map((id) => [id, MACHINE_RECORD])),
    rev,
  });
  replica.advanceTo(rev);
  state.syncSessions(monotonicMs(0));
  return { state, replica, client, calls, events, roundRequestCount: () => requestedRounds };
};
