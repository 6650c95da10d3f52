/**
 * Codecs of pages. A page is one record that holds many rows of one shard, so that a round writes
 * only a few keys however many tasks it starts or ends. A job page (`now/work/`) holds the progress
 * of jobs; a machine page (`now/fleet/`) holds machines. Strings that many rows share (machine ids,
 * machine types, zones) are stored once per page, and rows refer to them by index.
 *
 * The stored forms:
 * - job page: `m` machine ids, `j` rows `[job, nextAttempt, done, open]`, where `done` is a set of
 *   ranges and `open` is a flat list: `[task index, attempt, machine index, ...]`.
 * - machine page: `t` machine types, `z` zones, `m` rows `[machine, type index, zone index, flags,
 *   rentedAt, endpoint, tokenFloor]`.
 */
import {
  attemptNumber,
  type JobId,
  jobId,
  type MachineId,
  machineId,
  revision,
  type ShardId,
  wallClockMs,
} from "@umberfold/ids";
import { amount, count, isMap, list, text } from "../protocol/cbor.js";
import { isJobId } from "../protocol/jobs.js";
import type { JobProgress, OpenAttempt } from "./job-records.js";
import type { MachineRecord } from "./machine-records.js";
import { parseRanges } from "./ranges.js";

/** Assigns an index, from 0, to each distinct string in the order of first appearance. */
const numberDistinct = (texts: Iterable<string>): Map<string, number> => {
  const numbers = new Map<string, number>();
  for (const value of texts) if (!numbers.has(value)) numbers.set(value, numbers.size);
  return numbers;
};

/** Size of a job's row without its completed tasks, open attempts and machine ids. */
const JOB_ROW_OVERHEAD_BYTES = 48;
/** Size of an open attempt's machine index, and of the commas after its three numbers. */
const OPEN_ATTEMPT_OVERHEAD_BYTES = 7;
/** Size of the quotes and the comma around a machine id. */
const MACHINE_ID_OVERHEAD_BYTES = 3;

/** Maximum encoded size of a machine's row. */
export const MAX_MACHINE_ROW_BYTES = 80;

const digitCount = (value: number): number => (value < 10 ? 1 : Math.floor(Math.log10(value)) + 1);

/** The encoded size of one open attempt in a page, without its machine's id. */
export const openAttemptBytes = (attempt: Pick<OpenAttempt, "index" | "attempt">): number =>
  OPEN_ATTEMPT_OVERHEAD_BYTES + digitCount(attempt.index) + digitCount(attempt.attempt);

/** The encoded size of a machine id, which is stored once for all open attempts on the machine. */
export const machineIdBytes = (id: MachineId): number => id.length + MACHINE_ID_OVERHEAD_BYTES;

/** Cached results of `progressBytes`; valid because a `JobProgress` is never modified in place. */
const cachedProgressBytes = new WeakMap<JobProgress, number>();

/**
 * An upper bound of the encoded size of a job's progress in its page. It is a tight bound because
 * it limits how many tasks of a large job array can run at the same time.
 */
export const progressBytes = (progress: JobProgress): number => {
  const known = cachedProgressBytes.get(progress);
  if (known !== undefined) return known;
  const machines = new Set<MachineId>();
  let bytes = JOB_ROW_OVERHEAD_BYTES;
  for (const bound of progress.done) bytes += digitCount(bound) + 1;
  for (const attempt of progress.open) {
    bytes += openAttemptBytes(attempt);
    machines.add(attempt.machine);
  }
  for (const id of machines) bytes += machineIdBytes(id);
  cachedProgressBytes.set(progress, bytes);
  return bytes;
};

/** The stored form of a job page without rows; a deleted job page is treated as this value. */
export const EMPTY_JOB_PAGE: unknown = { m: [], j: [] };

/** Returns the stored form of a job page. */
export const encodeJobPage = (entries: Iterable<readonly [JobId, JobProgress]>): unknown => {
  const rows = [...entries];
  const machines = numberDistinct(
    rows.flatMap(([, progress]) => progress.open.map((attempt) => attempt.machine)),
  );
  return {
    m: [...machines.keys()],
    j: rows.map(([id, progress]) => {
      const open: number[] = [];
      for (const { index, attempt, machine } of progress.open)
        open.push(index, attempt, machines.get(machine) ?? 0);
      return [id, progress.nextAttempt, progress.done, open];
    }),
  };
};

/** Returns undefined if the page itself is invalid; an invalid row is skipped. */
export const parseJobPage = (value: unknown): ReadonlyMap<JobId, JobProgress> | undefined => {
  if (!isMap(value)) return undefined;
  const machines = list(value.m)?.map((id) => machineId(String(id)));
  const rows = list(value.j);
  if (machines === undefined || rows === undefined) return undefined;
  const entries = new Map<JobId, JobProgress>();
  for (const row of rows) {
    const [id, next, done, openField] = list(row) ?? [];
    const nextAttempt = count(next);
    const openNumbers = list(openField) as readonly number[] | undefined;
    if (typeof id !== "string" || !isJobId(id)) continue;
    if (nextAttempt === undefined || openNumbers === undefined) continue;
    // Inlined for speed: this loop runs for every row of every changed page, in each round.
    const open: OpenAttempt[] = [];
    for (let i = 0; i + 2 < openNumbers.length; i += 3)
      open.push({
        index: Number(openNumbers[i]),
        attempt: attemptNumber(Number(openNumbers[i + 1])),
        machine: machines[Number(openNumbers[i + 2])] ?? machineId(""),
      });
    entries.set(jobId(id), { done: parseRanges(done), open, nextAttempt });
  }
  return entries;
};

const FLAG = { spot: 1, retiring: 2 } as const;

/** Returns the stored form of a machine page. */
export const encodeMachinePage = (
  machines: Iterable<readonly [MachineId, MachineRecord]>,
): unknown => {
  const rows = [...machines];
  const types = numberDistinct(rows.map(([, machine]) => machine.type));
  const zones = numberDistinct(rows.map(([, machine]) => machine.zone));
  return {
    t: [...types.keys()],
    z: [...zones.keys()],
    m: rows.map(([id, machine]) => [
      id,
      types.get(machine.type),
      zones.get(machine.zone),
      (machine.spot ? FLAG.spot : 0) | (machine.phase === "retiring" ? FLAG.retiring : 0),
      Math.round(machine.rentedAt),
      machine.endpoint,
      machine.tokenFloor,
    ]),
  };
};

/** Returns undefined if the page itself is invalid; an invalid row is skipped. */
export const parseMachinePage = (
  shard: ShardId,
  value: unknown,
): ReadonlyMap<MachineId, MachineRecord> | undefined => {
  if (!isMap(value)) return undefined;
  const types = list(value.t)?.map(String);
  const zones = list(value.z)?.map(String);
  const rows = list(value.m);
  if (types === undefined || zones === undefined || rows === undefined) return undefined;
  const machines = new Map<MachineId, MachineRecord>();
  for (const row of rows) {
    const [id, type, zone, flagsField, rentedAt, endpoint, tokenFloor] = list(row) ?? [];
    const flags = count(flagsField);
    if (typeof id !== "string" || id === "" || flags === undefined) continue;
    machines.set(machineId(id), {
      shard,
      type: types[Number(type)] ?? "",
      zone: zones[Number(zone)] ?? "",
      spot: (flags & FLAG.spot) !== 0,
      endpoint: text(endpoint) ?? "",
      phase: (flags & FLAG.retiring) !== 0 ? "retiring" : "up",
      rentedAt: wallClockMs(amount(rentedAt) ?? 0),
      tokenFloor: revision(count(tokenFloor) ?? 0),
    });
  }
  return machines;
};
