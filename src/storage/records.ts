import {
  type AttemptNumber,
  type ControllerLabel,
  controllerLabel,
  type Incarnation,
  incarnation,
  type JobId,
  type MachineId,
  machineId,
  type Revision,
  type ShardId,
  shardId,
  type TeamName,
  teamName,
  type WallClockMs,
  wallClockMs,
} from "@umberfold/ids";
import { amount, count, isMap, list, text } from "../protocol/cbor.js";
import { type JobSpec, PRIORITIES } from "../protocol/jobs.js";
import { type Ranges, rangesCount } from "./ranges.js";

/**
 * The layout of the state service. All keys under `now/` are scanned at a start and watched;
 * those under `final/` are kept for good and only ever read one by one.
 */
export const CURRENT_PREFIX = "now/";
const PREFIX = {
  member: `${CURRENT_PREFIX}member/`,
  shard: `${CURRENT_PREFIX}share/`,
  work: `${CURRENT_PREFIX}work/`,
  fleet: `${CURRENT_PREFIX}fleet/`,
  rental: `${CURRENT_PREFIX}hire/`,
  gone: `${CURRENT_PREFIX}gone/`,
  live: `${CURRENT_PREFIX}live/`,
  span: `${CURRENT_PREFIX}span/`,
} as const;
export const keys = {
  leader: `${CURRENT_PREFIX}leader`,
  types: `${CURRENT_PREFIX}types`,
  teams: `${CURRENT_PREFIX}teams`,
  member: (l: ControllerLabel): string => PREFIX.member + l,
  shard: (n: ShardId): string => PREFIX.shard + n,
  /** Progress of jobs of a shard. Such a page is never deleted, so its name may be used again. */
  work: (n: ShardId, page: number): string => `${PREFIX.work}${n}/${page}`,
  /** Machines of a shard. Its name begins with a revision of its writer's and is never reused. */
  fleet: (n: ShardId, name: string): string => `${PREFIX.fleet}${n}/${name}`,
  gone: (name: string): string => PREFIX.gone + name,
  rental: (name: string): string => PREFIX.rental + name,
  live: (id: JobId): string => PREFIX.live + id,
  /** The shards that a team spans; absent for most. A team's name may hold spaces, a key may not. */
  span: (team: TeamName): string => PREFIX.span + encodeURIComponent(team),
  final: (id: JobId): string => `final/${id}`,
} as const;

export type KeyKind = keyof typeof PREFIX | "leader" | "types" | "teams" | "other";

export const classifyKey = (key: string): { readonly kind: KeyKind; readonly name: string } => {
  for (const kind of Object.keys(PREFIX) as (keyof typeof PREFIX)[])
    if (key.startsWith(PREFIX[kind])) return { kind, name: key.slice(PREFIX[kind].length) };
  if (key === keys.leader) return { kind: "leader", name: "" };
  if (key === keys.types) return { kind: "types", name: "" };
  if (key === keys.teams) return { kind: "teams", name: "" };
  return { kind: "other", name: key };
};

/** The shard of a page, by its name within its kind. */
export const shardOfPage = (name: string): ShardId =>
  shardId(Number(name.slice(0, name.indexOf("/"))));

/** A foreign key's name may be no encoded one: it then stands for itself, which no team has. */
export const teamOfSpan = (name: string): TeamName => {
  try {
    return teamName(decodeURIComponent(name));
  } catch {
    return teamName(name);
  }
};

/** Who a record names: a label and the one process start under it. */
export interface ControllerId {
  readonly label: ControllerLabel;
  readonly incarnation: Incarnation;
}

export const sameController = (a: ControllerId | undefined, b: ControllerId): boolean =>
  a !== undefined && a.label === b.label && a.incarnation === b.incarnation;

export const encodeControllerId = (h: ControllerId): unknown => ({ l: h.label, i: h.incarnation });
export const parseControllerId = (v: unknown): ControllerId | undefined => {
  if (!isMap(v)) return undefined;
  const l = text(v.l);
  const i = text(v.i);
  return l === undefined || i === undefined
    ? undefined
    : { label: controllerLabel(l), incarnation: incarnation(i) };
};

/**
 * `up`: rented, perhaps still booting. `retiring`: to be returned by the leader, nothing new
 * starts there. One that an answer of the cloud proves gone is named by a `gone` record until its
 * owner has closed its attempts and dropped it.
 */
export type MachinePhase = "up" | "retiring";

export interface MachineRecord {
  readonly shard: ShardId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Empty until its worker has reported. */
  readonly endpoint: string;
  readonly phase: MachinePhase;
  readonly rentedAt: WallClockMs;
  /** No token for it may be lower: a revision known when it was last bumped or moved. */
  readonly tokenFloor: Revision;
}

/** Machines that the cloud says are gone. */
export interface GoneRecord {
  readonly ids: readonly MachineId[];
  readonly at: WallClockMs;
}

export const encodeGoneRecord = (g: GoneRecord): unknown => ({ m: g.ids, a: g.at });
export const parseGoneRecord = (v: unknown): GoneRecord | undefined => {
  if (!isMap(v)) return undefined;
  const ids = list(v.m);
  if (ids === undefined) return undefined;
  return { ids: ids.map((id) => machineId(String(id))), at: wallClockMs(amount(v.a) ?? 0) };
};

/** The intent to rent, written before the call. */
export interface RentalIntent {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The shard that each of the machines is for; as many are asked for. */
  readonly shards: readonly ShardId[];
  readonly at: WallClockMs;
}

export const encodeRentalIntent = (h: RentalIntent): unknown => ({
  t: h.type,
  z: h.zone,
  p: h.spot,
  s: h.shards,
  a: h.at,
});

export const parseRentalIntent = (v: unknown): RentalIntent | undefined => {
  if (!isMap(v)) return undefined;
  const t = text(v.t);
  const z = text(v.z);
  const shards = list(v.s)?.map(count);
  if (t === undefined || z === undefined || shards === undefined) return undefined;
  return {
    type: t,
    zone: z,
    spot: v.p === true,
    shards: shards.map((n) => shardId(n ?? 0)),
    at: wallClockMs(amount(v.a) ?? 0),
  };
};

export interface OpenAttempt {
  readonly index: number;
  readonly attempt: AttemptNumber;
  readonly machine: MachineId;
}

/** What a user was told of, and whether it was taken back: one record a job, seldom rewritten. */
export interface AcceptedJob {
  readonly spec: JobSpec;
  readonly acceptedAt: WallClockMs;
  /** When its user asked to cancel it, or null. */
  readonly cancelledAt: WallClockMs | null;
  /** The shard that it was placed in, for good, or null for its team's home shard. */
  readonly shard: ShardId | null;
}

/**
 * How far a job has come, kept in a page of its shard. Attempt numbers come from one counter for
 * the whole job, so none is used twice for a task and none need be kept for tasks not open.
 */
export interface JobProgress {
  readonly done: Ranges;
  readonly open: readonly OpenAttempt[];
  readonly nextAttempt: number;
}

export const NO_PROGRESS: JobProgress = { done: [], open: [], nextAttempt: 1 };

/** An accepted job that is not over. */
export interface LiveJob extends AcceptedJob, JobProgress {}

export const newJob = (spec: JobSpec, at: WallClockMs, shard: ShardId | null = null): LiveJob => ({
  spec,
  acceptedAt: at,
  cancelledAt: null,
  shard,
  ...NO_PROGRESS,
});

export const completedTaskCount = (j: JobProgress): number => rangesCount(j.done);
export const waitingTaskCount = (j: LiveJob): number =>
  j.cancelledAt !== null ? 0 : j.spec.taskCount - completedTaskCount(j) - j.open.length;

export const encodeAcceptedJob = (j: AcceptedJob): unknown => {
  const s = j.spec;
  return {
    c: s.jobClass,
    t: s.team,
    r: s.priority,
    n: s.taskCount,
    u: [s.resources.cpus, s.resources.gpus, s.resources.ramGb],
    i: s.image,
    ig: s.imageGb,
    ty: s.machineTypes,
    z: s.zone,
    f: (s.zoneAffinity ? 1 : 0) | (s.spreadAcrossZones ? 2 : 0) | (s.spotAllowed ? 4 : 0),
    e: s.expectedRunS,
    k: s.checkpointIntervalS,
    sv: s.checkpointSaveS,
    d: s.deadlineS,
    a: j.acceptedAt,
    ca: j.cancelledAt,
    ...(j.shard === null ? {} : { s: j.shard }),
  };
};

export const parseAcceptedJob = (id: JobId, v: unknown): AcceptedJob | undefined => {
  if (!isMap(v)) return undefined;
  const needs = list(v.u)?.map(amount);
  const taskCount = count(v.n);
  const priority = PRIORITIES.find((r) => r === v.r);
  const flags = count(v.f);
  const shard = count(v.s);
  if (needs === undefined || taskCount === undefined || priority === undefined) return undefined;
  if (flags === undefined) return undefined;
  return {
    spec: {
      id,
      jobClass: text(v.c) ?? "",
      team: teamName(text(v.t) ?? ""),
      priority,
      taskCount,
      resources: { cpus: needs[0] ?? 0, gpus: needs[1] ?? 0, ramGb: needs[2] ?? 0 },
      image: text(v.i) ?? "",
      imageGb: amount(v.ig) ?? 0,
      machineTypes: list(v.ty)?.filter((t): t is string => typeof t === "string") ?? null,
      zone: text(v.z) ?? null,
      zoneAffinity: (flags & 1) !== 0,
      spreadAcrossZones: (flags & 2) !== 0,
      spotAllowed: (flags & 4) !== 0,
      expectedRunS: amount(v.e) ?? 0,
      checkpointIntervalS: amount(v.k) ?? 0,
      checkpointSaveS: amount(v.sv) ?? 0,
      deadlineS: amount(v.d) ?? null,
    },
    acceptedAt: wallClockMs(amount(v.a) ?? 0),
    cancelledAt: v.ca === undefined || v.ca === null ? null : wallClockMs(amount(v.ca) ?? 0),
    shard: shard === undefined ? null : shardId(shard),
  };
};

/** What remains of a job that is over. */
export interface FinalJob {
  readonly phase: "done" | "cancelled";
  readonly done: number;
}

export const encodeFinalJob = (f: FinalJob): unknown => ({
  g: f.phase === "done" ? 1 : 2,
  n: f.done,
});
export const parseFinalJob = (v: unknown): FinalJob | undefined => {
  if (!isMap(v)) return undefined;
  if (v.g !== 1 && v.g !== 2) return undefined;
  return { phase: v.g === 1 ? "done" : "cancelled", done: count(v.n) ?? 0 };
};
