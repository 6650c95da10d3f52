/**
 * Failure detection for the machines of one controller. Calls machines whose heartbeat is overdue
 * and determines whether the controller reaches its workers at all (see connectivity.ts). Unless
 * its own network is in doubt, it declares machines failed (see machine-failure.ts) and
 * decommissions them at once.
 *
 * Invariants: a controller that reaches hardly any of its machines attributes that to its own
 * network and declares none of them failed. Messages that have arrived but that this process hasn't
 * read yet (see event-loop-lag.ts) never count as a machine's silence.
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
  MIN_FAILED_CALLS_FOR_SILENT,
} from "./machine-failure.js";
import type { StatusRecorder } from "./status-recorder.js";

/** Minimum time between two runs. */
const DETECTION_PERIOD_MS = 200;
/**
 * Heartbeat periods after which a heartbeat is overdue: one may arrive a quarter of a period late.
 * In a failure wave machines are called earlier, without waiting for that.
 */
const OVERDUE_PERIOD_FACTOR = 1.25;
const WAVE_OVERDUE_PERIOD_FACTOR = 0.5;
/** Added to the overdue time before the machine is called. */
const OVERDUE_MARGIN_MS = 300;
/** Minimum time between the last direct call to a machine and a call by the detector. */
const PROBE_PERIOD_MS = 1500;
/** The silence timeout in a failure wave, as a fraction of the configured one. */
const WAVE_SILENCE_TIMEOUT_FRACTION = 0.5;
/** Worker leases without a heartbeat after which a machine that answers calls has failed. */
const MAX_LEASES_WITHOUT_HEARTBEAT = 3;
/** If this fraction of the machines is unreachable, the controller's own network has failed. */
const DISCONNECTED_UNREACHABLE_FRACTION = 0.8;

/** The times and timeouts that apply in one run of the detector. */
interface DetectionTimes {
  readonly now: MonotonicMs;
  /** Every message sent to this process up to this time has been read. */
  readonly readUpTo: MonotonicMs;
  readonly heartbeatPeriodMs: number;
  /** A machine from which nothing was received for longer than this is called. */
  readonly overdueTimeoutMs: number;
  readonly limits: FailureLimits;
}

/** A machine as one run sees it. */
interface MonitoredMachine {
  readonly id: MachineId;
  readonly session: WorkerSession;
  readonly record: MachineRecord;
  readonly softState: MachineSoftState;
  readonly silentMs: number;
}

interface FailedMachine {
  readonly id: MachineId;
  readonly failure: MachineFailure;
  readonly silentMs: number;
}

/** The results of one run. */
interface Findings {
  /** Machines that should be sending heartbeats, and how many of those don't answer calls. */
  machineCount: number;
  unreachableCount: number;
  readonly failed: FailedMachine[];
}

/** The parts of the worker channel that the detector uses. */
export interface DetectorDependencies {
  readonly recorder: StatusRecorder;
  /** Queues a direct call to a machine. */
  readonly callMachine: (id: MachineId) => void;
}

/** The worker has sent no status or hasn't seen our fencing token: it is called without waiting. */
const awaitsToken = ({ session, record }: MonitoredMachine): boolean =>
  session.state === "fencing" || (session.state === "unknown" && record.endpoint !== "");

const shouldProbe = (
  machine: MonitoredMachine,
  { now, overdueTimeoutMs }: DetectionTimes,
): boolean => {
  const { health, call } = machine.softState;
  const due =
    machine.silentMs > overdueTimeoutMs ||
    awaitsToken(machine) ||
    health.failedCallsSinceAnswer > 0;
  return due && now - call.lastCallAt >= PROBE_PERIOD_MS;
};

/** It has sent a status or has an endpoint, is up and isn't being decommissioned by force. */
const shouldSendHeartbeats = ({ session, record, softState }: MonitoredMachine): boolean => {
  if (record.endpoint === "" && session.status === undefined) return false;
  return record.phase === "up" && softState.departure.decommission?.isForced !== true;
};

/** Calls fail and a heartbeat is missing, or several calls failed whatever heartbeats came. */
const appearsUnreachable = (
  { softState, silentMs }: MonitoredMachine,
  heartbeatPeriodMs: number,
): boolean =>
  (softState.health.failedCallsSinceStatus > 0 && silentMs > heartbeatPeriodMs) ||
  softState.health.failedCallsSinceAnswer >= MIN_FAILED_CALLS_FOR_SILENT;

/** Detects failed machines of one controller. */
export class FailureDetector {
  #lastRunAt: MonotonicMs = monotonicMs(0);
  #connectivity: Connectivity = "connected";
  /** Machines that should be sending heartbeats, as of the last run. */
  #machineCount = 0;
  readonly #wave = new FailureWave();

  /**
   * @param state the controller's in-memory state of its shards and machines
   * @param dependencies the parts of the worker channel that the detector uses
   */
  constructor(
    private readonly state: ShardState,
    private readonly dependencies: DetectorDependencies,
  ) {}

  /** Whether this controller reaches its workers, as of the last run. */
  get connectivity(): Connectivity {
    return this.#connectivity;
  }

  /** Whether this controller receives heartbeats; undefined if no machine should send any. */
  receivesHeartbeats(): boolean | undefined {
    if (this.#machineCount === 0) return undefined;
    return this.#connectivity === "connected";
  }

  /**
   * Restarts failure detection after the controller was paused or cut off: silence until now is no
   * evidence against the machines. Their failed calls and missing heartbeats are forgotten too.
   */
  resetTimers(now: MonotonicMs): void {
    const { state } = this;
    this.dependencies.recorder.restartSilenceTimer(now);
    this.#wave.reset();
    this.#connectivity = "connected";
    for (const id of state.sessions.keys()) {
      state.stepSession(id, { kind: "timers_reset", now });
      state.machineState(id).health.reset();
    }
  }

  /** Checks all machines, unless the last run was less than the detection period ago. */
  run(now: MonotonicMs): void {
    if (now - this.#lastRunAt < DETECTION_PERIOD_MS) return;
    this.#lastRunAt = now;
    const times = this.#computeTimes(now);
    const findings = this.#inspectAll(times);
    this.#assessConnectivity(findings, times);
    if (this.#connectivity === "suspect" || this.#connectivity === "disconnected") return;
    for (const failed of findings.failed) this.#declareFailed(failed, now);
  }

  #computeTimes(now: MonotonicMs): DetectionTimes {
    const { operators, settings, eventLoopLag } = this.state.ctx;
    const heartbeatPeriodMs = settings.workers.heartbeatPeriodS * 1000;
    const silenceTimeoutMs = operators.silenceTimeoutS * 1000;
    const isInWave = this.#wave.isActive(now);
    return {
      now,
      readUpTo: eventLoopLag.readUpTo(now),
      heartbeatPeriodMs,
      overdueTimeoutMs:
        heartbeatPeriodMs * (isInWave ? WAVE_OVERDUE_PERIOD_FACTOR : OVERDUE_PERIOD_FACTOR) +
        OVERDUE_MARGIN_MS,
      limits: {
        silenceTimeoutMs,
        effectiveSilenceTimeoutMs:
          silenceTimeoutMs * (isInWave ? WAVE_SILENCE_TIMEOUT_FRACTION : 1),
        heartbeatTimeoutMs:
          settings.workers.leaseS * 1000 * MAX_LEASES_WITHOUT_HEARTBEAT + heartbeatPeriodMs,
      },
    };
  }

  #inspectAll(times: DetectionTimes): Findings {
    const { state } = this;
    const { replica } = state.ctx;
    const findings: Findings = { machineCount: 0, unreachableCount: 0, failed: [] };
    for (const [id, session] of state.sessions) {
      const record = replica.machines.get(id);
      if (record === undefined || replica.isGone(id)) continue;
      const silentMs = times.readUpTo - session.lastHeardAt;
      this.#inspect(
        { id, session, record, softState: state.machineState(id), silentMs },
        times,
        findings,
      );
    }
    return findings;
  }

  #inspect(machine: MonitoredMachine, times: DetectionTimes, findings: Findings): void {
    const { id, session, softState, silentMs } = machine;
    if (shouldProbe(machine, times)) this.dependencies.callMachine(id);
    if (!shouldSendHeartbeats(machine)) return;
    findings.machineCount++;
    if (appearsUnreachable(machine, times.heartbeatPeriodMs)) findings.unreachableCount++;
    if (session.status !== undefined) softState.health.expectHeartbeats(times.now);
    const failure = detectMachineFailure(softState.health, silentMs, times.readUpTo, times.limits);
    if (failure !== undefined) findings.failed.push({ id, failure, silentMs });
  }

  #assessConnectivity({ machineCount, unreachableCount }: Findings, times: DetectionTimes): void {
    const { recorder } = this.dependencies;
    // Until now no machine was owned that could have sent anything.
    if (this.#machineCount === 0) recorder.restartSilenceTimer(times.now);
    this.#machineCount = machineCount;
    this.#connectivity = assessConnectivity({
      machineCount,
      silentMs: times.readUpTo - recorder.lastReceivedAt,
      mostAreUnreachable: unreachableCount >= machineCount * DISCONNECTED_UNREACHABLE_FRACTION,
      heartbeatPeriodMs: times.heartbeatPeriodMs,
      silenceTimeoutMs: times.limits.silenceTimeoutMs,
      workerLeaseMs: this.state.ctx.settings.workers.leaseS * 1000,
    });
  }

  #declareFailed({ id, failure, silentMs }: FailedMachine, now: MonotonicMs): void {
    const { state } = this;
    state.stepSession(id, { kind: "became_unresponsive" });
    state.ctx.log.info("machine failed", {
      machine: id,
      reason: failure,
      silentMs: Math.round(silentMs),
    });
    state.machineState(id).departure.step({ kind: "decommission_forced", reason: failure });
    state.dirtyMachines.add(id);
    this.#wave.recordFailure(now);
  }
}
