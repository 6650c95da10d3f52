/** Which shards a controller claims or hands over, and which home shard each team is assigned. */
import assert from "node:assert/strict";
import test from "node:test";
import { controllerLabel, incarnation, shardId, teamName } from "@umberfold/ids";
import {
  assignTeams,
  planShardActions,
  type ShardAction,
} from "../../../src/coordination/sharding/shard-assignment.js";
import type { ControllerId } from "../../../src/storage/records.js";

const SHARD_COUNT = 3;

const controller = (label: string, incarnationId = `${label}-1`): ControllerId => ({
  label: controllerLabel(label),
  incarnation: incarnation(incarnationId),
});
const A = controller("a");
const B = controller("b");
const C = controller("c");

/** The expected plan of controller `a`, given the shard owners and the live members. */
interface PlanCase {
  readonly name: string;
  readonly owners: readonly (readonly [number, ControllerId])[];
  readonly members: readonly ControllerId[];
  readonly stable?: readonly string[];
  readonly plan: readonly string[];
}

const planCases: readonly PlanCase[] = [
  {
    name: "each controller claims an equal part of the unowned shards",
    owners: [],
    members: [A, B, C],
    plan: ["claim 0"],
  },
  {
    name: "the only controller claims all shards",
    owners: [],
    members: [A],
    plan: ["claim 0", "claim 1", "claim 2"],
  },
  {
    name: "the shard of a dead owner is claimed by the least loaded",
    owners: [
      [0, A],
      [1, B],
      [2, C],
    ],
    members: [A, B],
    plan: ["claim 2"],
  },
  {
    name: "a shard of its own earlier incarnation is claimed",
    owners: [
      [0, controller("a", "a-0")],
      [1, B],
      [2, C],
    ],
    members: [A, B, C],
    plan: ["claim 0"],
  },
  {
    name: "a shard of another controller's earlier incarnation is left to that controller",
    owners: [
      [0, A],
      [1, controller("b", "b-0")],
      [2, C],
    ],
    members: [A, B, C],
    plan: [],
  },
  {
    name: "one shard is handed over to a stable member without a shard",
    owners: [
      [0, A],
      [1, A],
      [2, B],
    ],
    members: [A, B, C],
    stable: ["a", "b", "c"],
    plan: ["hand_over 1 c"],
  },
  {
    name: "no shard is handed over to a member that has only just joined",
    owners: [
      [0, A],
      [1, A],
      [2, B],
    ],
    members: [A, B, C],
    stable: ["a", "b"],
    plan: [],
  },
  {
    name: "no shard is handed over while another is unowned",
    owners: [
      [0, A],
      [1, A],
    ],
    members: [A, B, C],
    stable: ["a", "b", "c"],
    plan: [],
  },
];

const describeAction = (action: ShardAction): string =>
  action.kind === "claim"
    ? `claim ${action.shard}`
    : `hand_over ${action.shard} ${action.to.label}`;

for (const { name, owners, members, stable, plan } of planCases)
  test(`shard plan: ${name}`, () => {
    const actions = planShardActions({
      self: A,
      shardCount: SHARD_COUNT,
      shardOwners: new Map(owners.map(([n, owner]) => [shardId(n), owner])),
      members: new Map(members.map((member) => [member.label, member])),
      stableMembers: new Set((stable ?? []).map(controllerLabel)),
    });
    assert.deepEqual(actions.map(describeAction), plan);
  });

test("teams are spread evenly over the shards, and an assigned team never changes its shard", () => {
  const names = Array.from({ length: 10 }, (_, i) => teamName(`team-0${i}`));
  const first = assignTeams(new Map(), names, SHARD_COUNT);
  const load = [0, 1, 2].map((n) => [...first.values()].filter((s) => s === n).length);
  assert.deepEqual(load, [4, 3, 3]);
  const next = assignTeams(first, [teamName("aaa"), ...names.slice(3)], SHARD_COUNT);
  for (const [name, shard] of first) assert.equal(next.get(name), shard);
  assert.equal(next.get(teamName("aaa")), 1);
});
