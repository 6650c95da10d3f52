/**
 * Takes worker statuses in, whichever way they came: into the session, the machine's health, and
 * what is learned from the attempts in them. Asks for a round if there is something to decide.
 *
 * Owns one thing: when a status of any machine was last received, which connectivity is judged by.
 */
import { attemptKey, type MachineId, type MonotonicMs } from "@umberfold/ids";
import type { TaskStatus, WorkerStatus } from "../../protocol/workers.js";
import { keys, type MachineRecord } from "../../storage/records.js";
import { monotonicNow, wallClockNow } from "../../transport/clock.js";
import { rereadKeys } from "../context.js";
import type { ShardState } from "../ownership/shard-state.js";
import { hasNoNews } from "./session-news.js";

/** Records the statuses of all workers of one controller. */
export class StatusRecorder {
  #lastReceivedAt: MonotonicMs = monotonicNow();

  /** @param state what the controller keeps of its machines */
  constructor(private readonly state: ShardState) {}

  /** When any machine's status was last received, or since when silence counts. */
  get lastReceivedAt(): MonotonicMs {
    return this.#lastReceivedAt;
  }

  /** Silence counts from now on: the controller was cut off, or owned no machines. */
  restartSilence(now: MonotonicMs): void {
    this.#lastReceivedAt = now;
  }

  /** Takes a status in. One that is older than the newest is ignored. */
  record(status: WorkerStatus, via: "heartbeat" | "direct", now: MonotonicMs): void {
    const { state } = this;
    const { machine } = status;
    const before = state.sessions.get(machine);
    const after = state.stepSession(machine, { kind: "status_received", status, via, now });
    if (after === undefined || after === before) return;
    this.#lastReceivedAt = now;
    state.machineState(machine).health.recordStatus(via, now);
    for (const task of status.tasks) this.#learnFrom(machine, task, now);
    // A status that says nothing new is no reason for a round.
    if (before !== undefined && hasNoNews(before, after)) return;
    state.dirtyMachines.add(machine);
    state.wake();
  }

  /**
   * The worker has seen a higher token than ours: somebody else owns the machine, or did, and what
   * the replica shows of it is old. The records are read again; nobody waits for it, for the worker
   * sends again anyway.
   */
  rereadOwnership(id: MachineId, { shard }: MachineRecord): void {
    const { ctx } = this.state;
    void rereadKeys(ctx, [keys.shard(shard), ctx.replica.machinePageKeyOf(id) ?? ""]);
  }

  /** An attempt that is seen running for the first time: when it began, and which image it uses. */
  #learnFrom(machine: MachineId, status: TaskStatus, now: MonotonicMs): void {
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
