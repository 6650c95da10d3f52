/** `planFleet`: the machines that are rented, transferred and returned. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId, type ShardId, shardId } from "@umberfold/ids";
import {
  type DemandGroup,
  type FleetMachine,
  offerKey,
  planFleet,
} from "../../src/scheduling/fleet-plan.js";
import { LARGE, SMALL } from "./fixtures.js";

/** A spot machine of 8 processors that has been idle for 100 s. */
const machine = (id: string, shard: number, change: Partial<FleetMachine> = {}): FleetMachine => ({
  id: machineId(id),
  shard: shardId(shard),
  type: SMALL,
  zone: "a",
  spot: true,
  isUp: true,
  usedResources: { cpus: 0, gpus: 0, ramGb: 0 },
  openAttempts: 0,
  tasks: [],
  idleS: 100,
  heldS: 100,
  ...change,
});

/** Tasks of 4 processors, all of them required and waiting in one shard. */
const group = (shard: number, slots: number, change: Partial<DemandGroup> = {}): DemandGroup => ({
  resources: { cpus: 4, gpus: 0, ramGb: 14 },
  machineTypes: null,
  zone: null,
  spotAllowed: true,
  priority: 1,
  urgent: false,
  desiredSlots: slots,
  requiredSlots: slots,
  waitingTasksByShard: new Map([[shardId(shard), slots]]),
  ...change,
});

/** A machine with tasks of 4 processors, each given as priority and lost work in seconds. */
const busy = (
  id: string,
  shard: number,
  ...tasks: readonly (readonly [number, number])[]
): FleetMachine =>
  machine(id, shard, {
    openAttempts: tasks.length,
    usedResources: { cpus: 4 * tasks.length, gpus: 0, ramGb: 14 * tasks.length },
    tasks: tasks.map(([priority, lostWorkS]) => ({
      priority,
      resources: { cpus: 4, gpus: 0, ramGb: 14 },
      lostWorkS,
    })),
  });

/** `expected`: rentals as "type zone kind count >shards", transfers as "machine>shard drain". */
const cases: readonly {
  readonly name: string;
  readonly machines?: readonly FleetMachine[];
  readonly demand?: readonly DemandGroup[];
  readonly refused?: readonly string[];
  readonly overloaded?: readonly ShardId[];
  readonly expected: {
    readonly rentals?: readonly string[];
    readonly transfers?: readonly string[];
    readonly returns?: readonly string[];
  };
}[] = [
  {
    name: "rents the offers with the lowest cost per slot, spread over zones",
    demand: [group(0, 4)],
    expected: { rentals: ["small a spot 1 >0", "small b spot 1 >0"] },
  },
  {
    name: "rents no spot machine for a job that may not use it",
    demand: [group(0, 2, { spotAllowed: false })],
    expected: { rentals: ["small a ordinary 1 >0"] },
  },
  {
    name: "rents no offer that was refused recently",
    demand: [group(0, 2)],
    refused: [offerKey("small", "a", true), offerKey("small", "b", true)],
    expected: { rentals: ["large a spot 1 >0"] },
  },
  {
    name: "rents and keeps no ordinary machine for slots that are desired but not required",
    machines: [machine("m", 0, { spot: false })],
    demand: [group(0, 2, { requiredSlots: 0, waitingTasksByShard: new Map() })],
    refused: [
      offerKey("small", "a", true),
      offerKey("small", "b", true),
      offerKey("large", "a", true),
      offerKey("large", "b", true),
    ],
    expected: { returns: ["m"] },
  },
  {
    name: "counts a booting machine as capacity",
    machines: [machine("m", 0, { isUp: false })],
    demand: [group(0, 2)],
    expected: {},
  },
  {
    name: "transfers another shard's idle machine instead of renting",
    machines: [machine("m", 1)],
    demand: [group(0, 2)],
    expected: { transfers: ["m>0"] },
  },
  {
    name: "transfers neither a busy machine nor one that its own shard's waiting tasks need",
    machines: [
      machine("m", 1, { openAttempts: 1, usedResources: { cpus: 4, gpus: 0, ramGb: 14 } }),
      machine("n", 1),
    ],
    demand: [group(1, 3), group(0, 1)],
    expected: { rentals: ["small b spot 1 >0"] },
  },
  {
    name: "transfers an idle machine to waiting tasks although its own shard's forecast needs it",
    machines: [machine("m", 1)],
    demand: [group(1, 2, { waitingTasksByShard: new Map() }), group(0, 2)],
    expected: { rentals: ["small b spot 1 >0"], transfers: ["m>0"] },
  },
  // Rentals for an overloaded shard made it worse: its owner had not yet read the heartbeats of the
  // new machines, so ever more machines were rented.
  {
    name: "rents nothing for an overloaded shard's demand, also not in another shard",
    demand: [group(0, 4)],
    overloaded: [shardId(0)],
    expected: {},
  },
  {
    name: "while one shard is overloaded, rents the unmet demand of another shard",
    demand: [group(0, 4), group(1, 2)],
    overloaded: [shardId(0)],
    expected: { rentals: ["small a spot 1 >1"] },
  },
  {
    name: "transfers no machine to an overloaded shard",
    machines: [machine("m", 1)],
    demand: [group(0, 2)],
    overloaded: [shardId(0)],
    expected: {},
  },
  {
    name: "drains for urgent work the lower-priority machine of another shard with least lost work",
    machines: [
      busy("m", 1, [2, 30]),
      busy("n", 1, [2, 5]),
      busy("o", 1, [1, 0]),
      busy("p", 2, [2, 1], [1, 0]),
    ],
    demand: [group(0, 2, { desiredSlots: 0, requiredSlots: 0, urgent: true })],
    expected: { transfers: ["n>0 drain"] },
  },
  {
    name: "drains nothing if preemption on the shard's own machines suffices",
    machines: [busy("m", 1, [2, 5]), busy("n", 0, [2, 30], [2, 30])],
    demand: [group(0, 2, { desiredSlots: 0, requiredSlots: 0, urgent: true })],
    expected: {},
  },
  {
    name: "drains nothing for work that is not urgent",
    machines: [busy("m", 1, [2, 5])],
    demand: [group(0, 2, { desiredSlots: 0, requiredSlots: 0 })],
    expected: {},
  },
  {
    name: "returns an unneeded machine only after it has been idle for the idle timeout",
    machines: [machine("m", 0), machine("n", 0, { idleS: 3 })],
    expected: { returns: ["m"] },
  },
  {
    name: "returns the more expensive one of two machines",
    machines: [machine("m", 0, { spot: false }), machine("n", 0)],
    demand: [group(0, 2, { waitingTasksByShard: new Map() })],
    expected: { returns: ["m"] },
  },
];

for (const { name, machines, demand, refused, overloaded, expected } of cases)
  test(`fleet plan: ${name}`, () => {
    const plan = planFleet({
      types: [SMALL, LARGE],
      machines: machines ?? [],
      demand: demand ?? [],
      refusedOffers: new Set(refused ?? []),
      idleTimeoutS: 20,
      maxRentals: 50,
      meanMachineLifetimeS: 300,
      shardCount: 2,
      overloaded: new Set(overloaded ?? []),
    });
    assert.deepEqual(
      plan.rentals.map(
        ({ type, zone, spot, shards }) =>
          `${type} ${zone} ${spot ? "spot" : "ordinary"} ${shards.length} >${shards}`,
      ),
      expected.rentals ?? [],
    );
    assert.deepEqual(
      plan.transfers.map(({ machine, to, drain }) => `${machine}>${to}${drain ? " drain" : ""}`),
      expected.transfers ?? [],
    );
    assert.deepEqual(plan.returns, expected.returns ?? []);
  });
