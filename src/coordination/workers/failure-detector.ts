/**
 * Failure detection for the machines of one controller: calls those whose heartbeat is late, judges
 * whether the controller reaches its workers at all, and only if it does gives up machines that
 * failed (see machine-failure.ts). What is given up is decommissioned at once.
 *
 * What must hold: a controller that reaches hardly any of its machines never takes its own trouble
 * for theirs, and what this process has not read yet counts as nobody's silence.
 */
import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import type { MachineRecord } from "../../storage/records.js";
import type { MachineSoftState } from "../ownership/machine-soft-state.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import { assessConnectivity, type Connectivity } from "./connectivity.js";
import { FailureWave } from "./failure-wave.js";
import {
  detectMachineFailure,
  type FailureLimits,
  type MachineFailure,
  UNANSWERED_CALLS_UNTIL_SILENT,
} from "./machine-failure.js";
import type { StatusRecorder } from "./status-recorder.js";

/** How often machines are looked at. */
const DETECTION_PERIOD_MS = 200;
/** Heartbeats come with up to a quarter of a period's delay; in a wave they are asked for earlier. */
const OVERDUE_PERIODS = 1.25;
const WAVE_OVERDUE_PERIODS = 0.5;
/** How late beyond that a heartbeat may be before its machine is called. */
const OVERDUE_MS = 300;
/** How often a machine is called for that. */
const PROBE_PERIOD_MS = 1500;
/** The part of the time after which a machine counts as silent that is enough in a wave. */
const WAVE_SILENCE_PART = 0.5;
/** Leases without a heartbeat after which a machine that answers calls is given up. */
const HEARTBEAT_LEASES = 3;
/** With this part of its machines out of reach, the trouble is the controller's own. */
const UNREACHED_PART = 0.8;

/** The times that apply in one run of the detector. */
interface DetectionTimes {
  readonly now: MonotonicMs;
  /** Everything that was sent here up to this moment has been read. */
  readonly readUpTo: MonotonicMs;
  readonly heartbeatPeriodMs: number;
  /** Without anything received for this long, a machine is called. */
  readonly overdueMs: number;
  readonly limits: FailureLimits;
}

/** One machine of one run. */
interface WatchedMachine {
  readonly id: MachineId;
  readonly session: WorkerSession;
  readonly record: MachineRecord;
  readonly soft: MachineSoftState;
  readonly silentMs: number;
}

interface FailedMachine {
  readonly id: MachineId;
  readonly failure: MachineFailure;
  readonly silentMs: number;
}

/** What one run found. */
interface Findings {
  /** Machines that should be sending heartbeats, and those of them that don't answer calls. */
  known: number;
  unreached: number;
  readonly failed: FailedMachine[];
}

/** What the detector needs of the worker channel. */
export interface DetectorParts {
  readonly recorder: StatusRecorder;
  /** Queues a direct call to a machine. */
  readonly callMachine: (id: MachineId) => void;
}

/** A machine that has yet to see our token, or to send anything at all, is called without delay. */
const awaitsToken = ({ session, record }: WatchedMachine): boolean =>
  session.state === "fencing" || (session.state === "unknown" && record.endpoint !== "");

const shouldProbe = (machine: WatchedMachine, { now, overdueMs }: DetectionTimes): boolean => {
  const { health, call } = machine.soft;
  const due =
    machine.silentMs > overdueMs || awaitsToken(machine) || health.failedCallsSinceAnswer > 0;
  return due && now - call.lastCallAt >= PROBE_PERIOD_MS;
};

/** Heartbeats are due from it: it has sent a status or has an endpoint, and isn't leaving. */
const shouldSendHeartbeats = ({ session, record, soft }: WatchedMachine): boolean => {
  if (record.endpoint === "" && session.status === undefined) return false;
  return record.phase === "up" && soft.departure.decommission?.isForced !== true;
};

const isUnreached = ({ soft, silentMs }: WatchedMachine, heartbeatPeriodMs: number): boolean =>
  (soft.health.failedCallsSinceStatus > 0 && silentMs > heartbeatPeriodMs) ||
  soft.health.failedCallsSinceAnswer >= UNANSWERED_CALLS_UNTIL_SILENT;

/** Watches the machines of one controller. */
export class FailureDetector {
  #lastRunAt: MonotonicMs = monotonicMs(0);
  #connectivity: Connectivity = "connected";
  /** Machines that should be sending heartbeats, as of the last run. */
  #known = 0;
  readonly #wave = new FailureWave();

  /**
   * @param state what the controller keeps of its machines
   * @param parts the parts of the worker channel that the detector uses
   */
  constructor(
    private readonly state: ShardState,
    private readonly parts: DetectorParts,
  ) {}

  /** Whether this controller reaches its workers, as of the last run. */
  get connectivity(): Connectivity {
    return this.#connectivity;
  }

  /** Whether heartbeats arrive here; undefined if no machine should be sending any. */
  receivesHeartbeats(): boolean | undefined {
    if (this.#known === 0) return undefined;
    return this.#connectivity === "connected";
  }

  /**
   * The controller was paused or cut off: the machines' silence until now says nothing of them. All
   * that was counted against them is dropped, and counted anew from here.
   */
  resetTimers(now: MonotonicMs): void {
    const { state } = this;
    this.parts.recorder.restartSilence(now);
    this.#wave.reset();
    this.#connectivity = "connected";
    for (const id of state.sessions.keys()) {
      state.stepSession(id, { kind: "timers_reset", now });
      state.machineState(id).health.reset();
    }
  }

  /** Looks at all machines, unless it did so a moment ago. */
  run(now: MonotonicMs): void {
    if (now - this.#lastRunAt < DETECTION_PERIOD_MS) return;
    this.#lastRunAt = now;
    const times = this.#times(now);
    const findings = this.#inspectAll(times);
    this.#assessConnectivity(findings, times);
    if (this.#connectivity === "suspect" || this.#connectivity === "disconnected") return;
    for (const failed of findings.failed) this.#giveUp(failed, now);
  }

  #times(now: MonotonicMs): DetectionTimes {
    const { operators, settings, eventLoopLag } = this.state.ctx;
    const heartbeatPeriodMs = settings.workers.reportS * 1000;
    const silenceMs = operators.silenceS * 1000;
    const wave = this.#wave.isActive(now);
    return {
      now,
      readUpTo: eventLoopLag.readUpTo(now),
      heartbeatPeriodMs,
      overdueMs: heartbeatPeriodMs * (wave ? WAVE_OVERDUE_PERIODS : OVERDUE_PERIODS) + OVERDUE_MS,
      limits: {
        silenceMs,
        patienceMs: silenceMs * (wave ? WAVE_SILENCE_PART : 1),
        heartbeatMs: settings.workers.leaseS * 1000 * HEARTBEAT_LEASES + heartbeatPeriodMs,
      },
    };
  }

  #inspectAll(times: DetectionTimes): Findings {
    const { state } = this;
    const { replica } = state.ctx;
    const findings: Findings = { known: 0, unreached: 0, failed: [] };
    for (const [id, session] of state.sessions) {
      const record = replica.machines.get(id);
      if (record === undefined || replica.isGone(id)) continue;
      const silentMs = times.readUpTo - session.lastHeardAt;
      this.#inspect(
        { id, session, record, soft: state.machineState(id), silentMs },
        times,
        findings,
      );
    }
    return findings;
  }

  #inspect(machine: WatchedMachine, times: DetectionTimes, findings: Findings): void {
    const { id, session, soft, silentMs } = machine;
    if (shouldProbe(machine, times)) this.parts.callMachine(id);
    if (!shouldSendHeartbeats(machine)) return;
    findings.known++;
    if (isUnreached(machine, times.heartbeatPeriodMs)) findings.unreached++;
    if (session.status !== undefined) soft.health.expectHeartbeats(times.now);
    const failure = detectMachineFailure(soft.health, silentMs, times.readUpTo, times.limits);
    if (failure !== undefined) findings.failed.push({ id, failure, silentMs });
  }

  #assessConnectivity({ known, unreached }: Findings, times: DetectionTimes): void {
    const { recorder } = this.parts;
    // Before the first machines were owned none could send anything.
    if (this.#known === 0) recorder.restartSilence(times.now);
    this.#known = known;
    this.#connectivity = assessConnectivity({
      known,
      silentMs: times.readUpTo - recorder.lastReceivedAt,
      mostUnreached: unreached >= known * UNREACHED_PART,
      heartbeatPeriodMs: times.heartbeatPeriodMs,
      silenceMs: times.limits.silenceMs,
      leaseMs: this.state.ctx.settings.workers.leaseS * 1000,
    });
  }

  #giveUp({ id, failure, silentMs }: FailedMachine, now: MonotonicMs): void {
    const { state } = this;
    state.stepSession(id, { kind: "became_unresponsive" });
    state.ctx.log.info("machine failed", {
      machine: id,
      reason: failure,
      silentMs: Math.round(silentMs),
    });
    state.machineState(id).departure.step({ kind: "decommission_forced", reason: failure });
    state.dirtyMachines.add(id);
    this.#wave.record(now);
  }
}
