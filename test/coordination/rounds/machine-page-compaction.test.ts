import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs, revision, shardId, wallClockMs } from "@umberfold/ids";
import type { ControllerContext } from "../../../src/coordination/context.js";
import { compactMachinePages } from "../../../src/coordination/rounds/machine-page-compaction.js";
import { newShardRound } from "../../../src/coordination/rounds/shard-round.js";
import { encodeMachinePage } from "../../../src/storage/pages.js";
import { keys, type MachineRecord } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";
import { TransactionBatch } from "../../../src/storage/transaction-batch.js";

const SHARD = shardId(0);
const LIMITS = { rps: 100, writeRps: 100, txnOps: 40, valueKb: 64 };
const RECORD: MachineRecord = {
  shard: SHARD,
  type: "small",
  zone: "a",
  spot: false,
  endpoint: "m:1",
  phase: "up",
  rentedAt: wallClockMs(0),
  tokenFloor: revision(1),
};

const pageKey = (name: string): string => keys.fleet(SHARD, name);

/**
 * Compacts pages of these sizes. Returns the new sizes of the pages that the compaction changes, by
 * name: the number of machines, 0 for a page that is deleted.
 */
const changedPageSizes = (
  sizes: Readonly<Record<string, number>>,
  written: readonly string[],
  writeBudgetFraction: number,
): Readonly<Record<string, number>> => {
  const replica = new Replica();
  let rev = 0;
  for (const [name, size] of Object.entries(sizes)) {
    const rows = Array.from({ length: size }, (_, i) => [machineId(`m-${name}-${i}`), RECORD]);
    const value = encodeMachinePage(rows as [ReturnType<typeof machineId>, MachineRecord][]);
    replica.apply({ kind: "put", key: pageKey(name), value, rev: revision(++rev) });
  }
  const batch = new TransactionBatch(replica, { ...LIMITS, shardCount: 1 });
  const store = { writeBudgetFraction: () => writeBudgetFraction };
  const ctx = { settings: { state: LIMITS, shardCount: 1 }, store } as unknown as ControllerContext;
  const round = newShardRound(SHARD, batch, monotonicMs(0));
  const pages = [...replica.machinePages];
  compactMachinePages(ctx, round, pages, new Set(written.map(pageKey)));
  const after = new Replica();
  const edited: Record<string, number> = {};
  for (const op of batch.transaction().ops) {
    const name = Object.keys(sizes).find((known) => pageKey(known) === op.key) ?? op.key;
    if (op.kind === "put")
      after.apply({ kind: "put", key: op.key, value: op.value, rev: revision(99) });
    edited[name] = after.machinePages.get(op.key)?.machines.size ?? 0;
  }
  return edited;
};

const cases: readonly (readonly [
  name: string,
  sizes: Readonly<Record<string, number>>,
  written: readonly string[],
  writeBudgetFraction: number,
  edited: Readonly<Record<string, number>>,
])[] = [
  ["a shard with two pages is not compacted", { a: 1, b: 2 }, ["a"], 1, {}],
  [
    "small pages are merged into the page that the round writes",
    { a: 1, b: 2, c: 3 },
    ["b"],
    0,
    { a: 0, b: 6, c: 0 },
  ],
  [
    "no page is written for compaction alone while the write budget is low",
    { a: 1, b: 2, c: 3 },
    [],
    0.5,
    {},
  ],
  [
    "all pages are merged into the largest while the write budget is full",
    { a: 1, b: 2, c: 3 },
    [],
    1,
    { a: 0, b: 0, c: 6 },
  ],
  [
    "at most three pages are merged in one round, the smallest first",
    { a: 1, b: 2, c: 3, d: 4, e: 5 },
    ["e"],
    0,
    { a: 0, b: 0, c: 0, e: 11 },
  ],
  [
    "no page is merged into pages that have no space left",
    { a: 20, b: 400, c: 400 },
    ["b", "c"],
    1,
    {},
  ],
  ["the smallest page is never the target of a merge", { a: 1, b: 2, c: 3 }, ["a"], 1, {}],
];
for (const [name, sizes, written, writeBudgetFraction, edited] of cases)
  test(`machine page compaction: ${name}`, () => {
    assert.deepEqual(changedPageSizes(sizes, written, writeBudgetFraction), edited);
  });
