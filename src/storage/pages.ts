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
import { parseRanges } from "./ranges.js";
import type { JobProgress, MachineRecord, OpenAttempt } from "./records.js";

/**
 * Pages: records that hold many things of one shard, so that a round changes a few keys however
 * many tasks started or ended in it. A work page holds the progress of jobs, a fleet page machines.
 * Names are written once a page and referred to by number.
 */

const numbersOf = (names: Iterable<string>): Map<string, number> => {
  const out = new Map<string, number>();
  for (const n of names) if (!out.has(n)) out.set(n, out.size);
  return out;
};

const ENTRY_BYTES = 48;
/** The number by which an open attempt names its machine, and the commas after its numbers. */
const OPEN_FIXED_BYTES = 7;
/** Quotes and comma around a machine's name. */
const NAME_FIXED_BYTES = 3;

const digits = (n: number): number => (n < 10 ? 1 : Math.floor(Math.log10(n)) + 1);

/** What one open attempt takes of a page, beside its machine's name. */
export const openAttemptBytes = (o: Pick<OpenAttempt, "index" | "attempt">): number =>
  OPEN_FIXED_BYTES + digits(o.index) + digits(o.attempt);

/** What naming a machine takes, once for all that is open on it. */
export const machineNameBytes = (id: MachineId): number => id.length + NAME_FIXED_BYTES;

const knownBytes = new WeakMap<JobProgress, number>();

/**
 * An upper bound of what a job's progress takes of its page. It is close, for it decides how many
 * tasks of a large array run at a time.
 */
export const progressBytes = (p: JobProgress): number => {
  const known = knownBytes.get(p);
  if (known !== undefined) return known;
  const machines = new Set<MachineId>();
  let bytes = ENTRY_BYTES;
  for (const n of p.done) bytes += digits(n) + 1;
  for (const o of p.open) {
    bytes += openAttemptBytes(o);
    machines.add(o.machine);
  }
  for (const id of machines) bytes += machineNameBytes(id);
  knownBytes.set(p, bytes);
  return bytes;
};

export const MACHINE_BYTES = 80;

export const encodeJobPage = (entries: Iterable<readonly [JobId, JobProgress]>): unknown => {
  const rows = [...entries];
  const machines = numbersOf(rows.flatMap(([, p]) => p.open.map((o) => o.machine)));
  return {
    m: [...machines.keys()],
    j: rows.map(([id, p]) => {
      const open: number[] = [];
      for (const o of p.open) open.push(o.index, o.attempt, machines.get(o.machine) ?? 0);
      return [id, p.nextAttempt, p.done, open];
    }),
  };
};

/** Undefined if the page as a whole can't be read; a row that can't is passed over by itself. */
export const parseJobPage = (v: unknown): ReadonlyMap<JobId, JobProgress> | undefined => {
  if (!isMap(v)) return undefined;
  const machines = list(v.m)?.map((m) => machineId(String(m)));
  const rows = list(v.j);
  if (machines === undefined || rows === undefined) return undefined;
  const out = new Map<JobId, JobProgress>();
  for (const row of rows) {
    const [id, next, done, flat] = list(row) ?? [];
    const nextAttempt = count(next);
    const numbers = list(flat) as readonly number[] | undefined;
    if (typeof id !== "string" || !isJobId(id)) continue;
    if (nextAttempt === undefined || numbers === undefined) continue;
    const open: OpenAttempt[] = [];
    for (let i = 0; i + 2 < numbers.length; i += 3)
      open.push({
        index: Number(numbers[i]),
        attempt: attemptNumber(Number(numbers[i + 1])),
        machine: machines[Number(numbers[i + 2])] ?? machineId(""),
      });
    out.set(jobId(id), { done: parseRanges(done), open, nextAttempt });
  }
  return out;
};

const RETIRING = 2;
const SPOT = 1;

export const encodeMachinePage = (
  machines: Iterable<readonly [MachineId, MachineRecord]>,
): unknown => {
  const rows = [...machines];
  const types = numbersOf(rows.map(([, m]) => m.type));
  const zones = numbersOf(rows.map(([, m]) => m.zone));
  return {
    t: [...types.keys()],
    z: [...zones.keys()],
    m: rows.map(([id, m]) => [
      id,
      types.get(m.type),
      zones.get(m.zone),
      (m.spot ? SPOT : 0) | (m.phase === "retiring" ? RETIRING : 0),
      Math.round(m.rentedAt),
      m.endpoint,
      m.tokenFloor,
    ]),
  };
};

export const parseMachinePage = (
  shard: ShardId,
  v: unknown,
): ReadonlyMap<MachineId, MachineRecord> | undefined => {
  if (!isMap(v)) return undefined;
  const types = list(v.t)?.map(String);
  const zones = list(v.z)?.map(String);
  const rows = list(v.m);
  if (types === undefined || zones === undefined || rows === undefined) return undefined;
  const out = new Map<MachineId, MachineRecord>();
  for (const row of rows) {
    const [id, type, zone, flags, rentedAt, endpoint, floor] = list(row) ?? [];
    const bits = count(flags);
    if (typeof id !== "string" || id === "" || bits === undefined) continue;
    out.set(machineId(id), {
      shard,
      type: types[Number(type)] ?? "",
      zone: zones[Number(zone)] ?? "",
      spot: (bits & SPOT) !== 0,
      endpoint: text(endpoint) ?? "",
      phase: (bits & RETIRING) !== 0 ? "retiring" : "up",
      rentedAt: wallClockMs(amount(rentedAt) ?? 0),
      tokenFloor: revision(count(floor) ?? 0),
    });
  }
  return out;
};
