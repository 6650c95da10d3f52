/**
 * Joins small pages of machine records, as scale-outs and transfers leave them, into one that is
 * written anyway: each costs one delete now, and saves one put in every later round that changes its
 * machines. Owns no state.
 */
import type { MachineId } from "@umberfold/ids";
import type { MachinePage } from "../../storage/fleet-index.js";
import { MACHINE_BYTES } from "../../storage/pages.js";
import type { MachineRecord } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";
import type { ControllerContext } from "../context.js";
import type { ShardRound } from "./shard-round.js";

/** A page of machine records with its key. */
export type KeyedMachinePage = readonly [key: string, page: MachinePage];

/** Pages are joined while together they take at most this part of what one may. */
const MAX_JOINED_PAGE_FRACTION = 0.7;
/** Pages that are joined in one round though they are not written otherwise. */
const MAX_JOINS_PER_ROUND = 3;
/** How full the write budget must be to write a page for its compaction alone. */
const MIN_WRITE_LEVEL = 0.6;
/** A shard with fewer pages is not compacted. */
const MIN_PAGES = 3;

/** The fullest page that takes the smallest one in, of those that are written if there are any. */
const compactionTarget = (
  bySize: readonly KeyedMachinePage[],
  written: ReadonlySet<string>,
  maxMachines: number,
): string | undefined => {
  const minSize = bySize[0]?.[1].machines.size ?? 0;
  const target = bySize
    .slice(1)
    .filter(([, page]) => page.machines.size + minSize <= maxMachines)
    .filter(([key]) => written.size === 0 || written.has(key))
    .pop();
  return target?.[0];
};

/** Moves the machines of the smallest pages into the target. */
const joinInto = (
  targetKey: string,
  target: Map<MachineId, MachineRecord>,
  bySize: readonly KeyedMachinePage[],
  written: ReadonlySet<string>,
  maxMachines: number,
  round: ShardRound,
): void => {
  let joins = 0;
  for (const [key, page] of bySize) {
    if (joins >= MAX_JOINS_PER_ROUND) return;
    if (key === targetKey || target.size + page.machines.size > maxMachines) continue;
    const source = round.batch.editMachinePage(key);
    if (source === undefined) return;
    for (const [id, record] of source) target.set(id, record);
    source.clear();
    if (!written.has(key)) joins++;
  }
};

/**
 * Compacts the pages of the round's shard.
 *
 * @param written keys of the pages that the round writes anyway
 */
export const compactMachinePages = (
  { settings, store }: ControllerContext,
  round: ShardRound,
  pages: readonly KeyedMachinePage[],
  written: ReadonlySet<string>,
): void => {
  if (pages.length < MIN_PAGES) return;
  if (written.size === 0 && store.writeLevel() < MIN_WRITE_LEVEL) return;
  const pageBytes = maxPageBytes({ ...settings.state, shardCount: settings.shardCount });
  const maxMachines = (pageBytes * MAX_JOINED_PAGE_FRACTION) / MACHINE_BYTES;
  const bySize = [...pages].sort((a, b) => a[1].machines.size - b[1].machines.size);
  const targetKey = compactionTarget(bySize, written, maxMachines);
  if (targetKey === undefined) return;
  const target = round.batch.editMachinePage(targetKey);
  if (target !== undefined) joinInto(targetKey, target, bySize, written, maxMachines, round);
};
