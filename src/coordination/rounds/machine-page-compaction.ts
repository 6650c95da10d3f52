/**
 * Merges small pages of machine records, which scale-outs and transfers leave behind, into a page
 * that is written anyway. Merging a page costs one delete operation now, and saves one put
 * operation in each later round that changes machines of that page. Owns no state.
 */
import type { MachineId } from "@umberfold/ids";
import type { MachinePage } from "../../storage/fleet-index.js";
import { MAX_MACHINE_ROW_BYTES } from "../../storage/pages.js";
import type { MachineRecord } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";
import type { ControllerContext } from "../context.js";
import type { ShardRound } from "./shard-round.js";

/** A page of machine records with its key. */
export type KeyedMachinePage = readonly [key: string, page: MachinePage];

/** A merged page takes at most this fraction of the largest page size allowed. */
const MAX_MERGED_PAGE_FRACTION = 0.7;
/** Pages merged in one round that the round would not write otherwise; each is one more delete. */
const MAX_EXTRA_DELETES_PER_ROUND = 3;
/** How full the write budget must be for a round to write pages for compaction alone. */
const MIN_WRITE_BUDGET_FRACTION = 0.6;
/** A shard with fewer pages is not compacted. */
const MIN_PAGES_TO_COMPACT = 3;

/**
 * The key of the page to merge into: the one with the most machines that can still hold those of
 * the smallest page. If the round writes pages anyway, only these are considered.
 */
const compactionTarget = (
  pagesBySize: readonly KeyedMachinePage[],
  writtenKeys: ReadonlySet<string>,
  maxMachinesPerPage: number,
): string | undefined => {
  const minMachineCount = pagesBySize[0]?.[1].machines.size ?? 0;
  const target = pagesBySize
    .slice(1)
    .filter(([, page]) => page.machines.size + minMachineCount <= maxMachinesPerPage)
    .filter(([key]) => writtenKeys.size === 0 || writtenKeys.has(key))
    .pop();
  return target?.[0];
};

/** Moves machines into the target page, from the smallest other pages first. */
const mergeInto = (
  targetKey: string,
  target: Map<MachineId, MachineRecord>,
  pagesBySize: readonly KeyedMachinePage[],
  writtenKeys: ReadonlySet<string>,
  maxMachinesPerPage: number,
  round: ShardRound,
): void => {
  let extraDeletes = 0;
  for (const [key, page] of pagesBySize) {
    if (extraDeletes >= MAX_EXTRA_DELETES_PER_ROUND) return;
    if (key === targetKey || target.size + page.machines.size > maxMachinesPerPage) continue;
    const source = round.batch.editMachinePage(key);
    if (source === undefined) return;
    for (const [id, record] of source) target.set(id, record);
    source.clear();
    if (!writtenKeys.has(key)) extraDeletes++;
  }
};

/**
 * Compacts the pages of machine records of the round's shard.
 *
 * @param writtenKeys keys of the pages that the round writes anyway
 */
export const compactMachinePages = (
  { settings, store }: ControllerContext,
  round: ShardRound,
  pages: readonly KeyedMachinePage[],
  writtenKeys: ReadonlySet<string>,
): void => {
  if (pages.length < MIN_PAGES_TO_COMPACT) return;
  if (writtenKeys.size === 0 && store.writeBudgetFraction() < MIN_WRITE_BUDGET_FRACTION) return;
  const pageBytes = maxPageBytes({ ...settings.state, shardCount: settings.shardCount });
  const maxMachinesPerPage = (pageBytes * MAX_MERGED_PAGE_FRACTION) / MAX_MACHINE_ROW_BYTES;
  const pagesBySize = [...pages].sort((a, b) => a[1].machines.size - b[1].machines.size);
  const targetKey = compactionTarget(pagesBySize, writtenKeys, maxMachinesPerPage);
  if (targetKey === undefined) return;
  const target = round.batch.editMachinePage(targetKey);
  if (target !== undefined)
    mergeInto(targetKey, target, pagesBySize, writtenKeys, maxMachinesPerPage, round);
};
