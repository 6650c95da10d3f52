/**
 * Records worker statuses, received in heartbeats or in answers to direct calls: updates the worker
 * session, the machine's health and the soft state of its attempts, and requests a scheduling round
 * if the status contains a relevant change.
 *
 * Its only own state is when a status of any machine was last received, for connectivity.ts.
 */
import { attemptKey, type MachineId, type MonotonicMs } from "@umberfold/ids";
import type { TaskStatus, WorkerStatus } from "../../protocol/workers.js";
import { keys, type MachineRecord } from "../../storage/records.js";
import { monotonicNow, wallClockNow } from "../../transport/clock.js";
import { rereadKeys } from "../context.js";
import type { ShardState } from "../ownership/shard-state.js";
import { hasNoRelevantChange } from "./session-news.js";

/** Records the statuses of all workers of one controller. */
export class StatusRecorder {
  #lastReceivedAt: MonotonicMs = monotonicNow();

  /** @param state the controller's in-memory state of its shards and machines */
  constructor(private readonly state: ShardState) {}

  /** When a status of any machine was last received, or when the silence timer was restarted. */
  get lastReceivedAt(): MonotonicMs {
    return this.#lastReceivedAt;
  }

  /** Measures silence from now on: the controller was paused or cut off, or owned no machines. */
  restartSilenceTimer(now: MonotonicMs): void {
    this.#lastReceivedAt = now;
  }

  /** Records a status. One that is not newer than the newest one recorded is ignored. */
  record(status: WorkerStatus, via: "heartbeat" | "direct", now: MonotonicMs): void {
    const { state } = this;
    const { machine } = status;
    const before = state.sessions.get(machine);
    const after = state.stepSession(machine, { kind: "status_received", status, via, now });
    if (after === undefined || after === before) return;
    this.#lastReceivedAt = now;
    state.machineState(machine).health.recordStatus(via, now);
    for (const task of status.tasks) this.#recordFirstRunning(machine, task, now);
    if (before !== undefined && hasNoRelevantChange(before, after)) return;
    state.dirtyMachines.add(machine);
    state.wake();
  }

  /**
   * Rereads the records of a machine whose worker has seen a higher token than ours: another
   * controller owns the machine, or did, and the replica is stale. The read is not awaited, because
   * the worker sends its status again anyway.
   */
  rereadOwnership(id: MachineId, { shard }: MachineRecord): void {
    const { ctx } = this.state;
    void rereadKeys(ctx, [keys.shard(shard), ctx.replica.machinePageKeyOf(id) ?? ""]);
  }

  /** When an attempt is first seen running, records its start time and the image that it uses. */
  #recordFirstRunning(machine: MachineId, status: TaskStatus, now: MonotonicMs): void {
    const { state } = this;
    const { replica, metrics } = state.ctx;
    if (status.phase !== "running") return;
    const key = attemptKey(status.task, status.attempt);
    if (state.attemptStates.get(key)?.runningSince != null) return;
    const attempt = replica.openAttemptsOn(machine).get(status.task);
    if (attempt === undefined || attempt.attempt !== status.attempt) return;
    const job = replica.acceptedJobs.get(attempt.job)?.value;
    if (job === undefined) return;
    state.attemptState(key, machine).markRunning(now);
    metrics.record(`begin ${job.spec.jobClass}`, wallClockNow() - job.acceptedAt);
    const typeName = replica.machines.get(machine)?.type;
    const type = replica.machineTypes?.value.find(({ name }) => name === typeName);
    const { image, imageGb } = job.spec;
    state.machineState(machine).imageCache.recordUse(image, imageGb, type?.cacheGb ?? 0);
  }
}
