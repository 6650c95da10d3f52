/**
 * Enforces cancellations of shards whose owner doesn't answer while the state store fails.
 *
 * The owner may have stopped or become unreachable after it acknowledged the cancellation. No
 * controller can claim its shard during an outage of the store. So the other controllers stop its
 * cancelled tasks under the fencing token that the machine reports: a worker accepts a command with
 * an equal token from any controller.
 *
 * Holds the time at which an owner last acknowledged each job's cancellation. Invariants: only the
 * owner raises tokens, sends forget commands and records terminations. Machines are returned only
 * while the store fails, because its records decide again once it is available.
 */
import {
  attemptKey,
  type JobId,
  type MachineId,
  type MonotonicMs,
  type TaskId,
  taskId,
} from "@umberfold/ids";
import type { CancellationNotice } from "../../protocol/peer.js";
import {
  commandsBody,
  parseWorkerStatus,
  type TaskStatus,
  type WorkerStatus,
} from "../../protocol/workers.js";
import type { OpenAttempt } from "../../storage/records.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import { FORCE_RETURN_START_FRACTION } from "./cancellation-action.js";
import type { ForcedReturns } from "./forced-returns.js";
import type { NoticeOutbox } from "./notice-outbox.js";

const WORKER_CALL_TIMEOUT_MS = 1200;
/** How many machines of other owners are called concurrently. */
const MAX_CONCURRENT_MACHINES = 16;
/** How long after an owner's acknowledgment for a job the owner is not asked about it again. */
const ACKNOWLEDGMENT_VALID_PERIOD_MS = 3000;

/** The cancellation of a job whose shard this controller doesn't own. */
export interface ForeignCancellation {
  readonly job: JobId;
  readonly notice: CancellationNotice;
  /** Milliseconds since the cancellation was recorded. */
  readonly ageMs: number;
}

interface CancelledTask {
  readonly task: TaskId;
  readonly openAttempt: OpenAttempt;
}

/** The open attempts of cancelled jobs on one machine. */
interface CancelledTasksOnMachine {
  readonly tasks: CancelledTask[];
  /** Milliseconds since the oldest of their cancellations was recorded. */
  oldestAgeMs: number;
}

/** Whether the machine's status has proved that none of the cancelled tasks still runs on it. */
type StopResult = "all_stopped" | "not_proved";

/** Stops cancelled tasks on the machines of owners that don't answer. */
export class UnreachableOwnerEnforcement {
  #state: "idle" | "running" = "idle";
  readonly #acknowledgedAt = new Map<JobId, MonotonicMs>();
  /** How many tasks of other owners this controller stopped since the process started. */
  readonly counters = { stoppedForOthers: 0 };

  /** @param workers HTTP client for direct calls to the machines */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly outbox: NoticeOutbox,
    private readonly forcedReturns: ForcedReturns,
    private readonly workers: HttpClient,
  ) {}

  /**
   * Notifies the owners again, and enforces the cancellations of those that don't acknowledge. Does
   * nothing while an earlier run is in progress.
   */
  async enforce(cancellations: readonly ForeignCancellation[]): Promise<void> {
    if (this.#state === "running") return;
    this.#state = "running";
    try {
      const now = monotonicNow();
      this.#forgetFinishedJobs();
      const unacknowledged = await Promise.all(
        cancellations
          .filter(({ job }) => this.#isAcknowledgmentStale(job, now))
          .map(async (cancellation) =>
            (await this.#ownerAcknowledges(cancellation.notice)) ? undefined : cancellation,
          ),
      );
      const machinesToReturn: MachineId[] = [];
      const queue = [...this.#tasksByMachine(unacknowledged)];
      const processQueue = (): Promise<void> => this.#processQueue(queue, machinesToReturn);
      await Promise.all(Array.from({ length: MAX_CONCURRENT_MACHINES }, processQueue));
      // If the state store is available again, its records decide about the machines.
      if (this.ctx.store.isFailing()) await this.forcedReturns.returnMachines(machinesToReturn);
    } finally {
      this.#state = "idle";
    }
  }

  #forgetFinishedJobs(): void {
    for (const job of this.#acknowledgedAt.keys())
      if (!this.ctx.replica.acceptedJobs.has(job)) this.#acknowledgedAt.delete(job);
  }

  #isAcknowledgmentStale(job: JobId, now: MonotonicMs): boolean {
    const acknowledgedAt = this.#acknowledgedAt.get(job) ?? Number.NEGATIVE_INFINITY;
    return now - acknowledgedAt > ACKNOWLEDGMENT_VALID_PERIOD_MS;
  }

  async #ownerAcknowledges(notice: CancellationNotice): Promise<boolean> {
    const shard = this.ctx.replica.shardOf(notice.job);
    const owner = shard === undefined ? undefined : this.membership.ownerOf(shard)?.label;
    if (owner === undefined || owner === this.ctx.self.label) return false;
    const acknowledged = await this.outbox.send(owner, notice);
    if (acknowledged) this.#acknowledgedAt.set(notice.job, monotonicNow());
    return acknowledged;
  }

  #tasksByMachine(
    cancellations: readonly (ForeignCancellation | undefined)[],
  ): ReadonlyMap<MachineId, CancelledTasksOnMachine> {
    const tasksByMachine = new Map<MachineId, CancelledTasksOnMachine>();
    for (const cancellation of cancellations) {
      if (cancellation === undefined) continue;
      const { job, ageMs } = cancellation;
      for (const openAttempt of this.ctx.replica.job(job)?.open ?? []) {
        const onMachine = tasksByMachine.get(openAttempt.machine) ?? { tasks: [], oldestAgeMs: 0 };
        onMachine.tasks.push({ task: taskId(job, openAttempt.index), openAttempt });
        onMachine.oldestAgeMs = Math.max(onMachine.oldestAgeMs, ageMs);
        tasksByMachine.set(openAttempt.machine, onMachine);
      }
    }
    return tasksByMachine;
  }

  /** Takes machines off the queue until it is empty; several such loops run concurrently. */
  async #processQueue(
    queue: (readonly [MachineId, CancelledTasksOnMachine])[],
    machinesToReturn: MachineId[],
  ): Promise<void> {
    const cancelMs = this.ctx.settings.workers.cancellationTimeoutS * 1000;
    for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
      const [machine, { tasks, oldestAgeMs }] = next;
      if (this.ctx.replica.isGone(machine) || this.forcedReturns.hasReturned(machine)) continue;
      if ((await this.#stopTasks(machine, tasks)) === "all_stopped") continue;
      if (oldestAgeMs >= cancelMs * FORCE_RETURN_START_FRACTION) machinesToReturn.push(machine);
    }
  }

  /** Sends the machine stop commands for those of the tasks that its status shows as not ended. */
  async #stopTasks(machine: MachineId, tasks: readonly CancelledTask[]): Promise<StopResult> {
    const endpoint = this.ctx.replica.machines.get(machine)?.endpoint ?? "";
    if (endpoint === "") return "not_proved";
    const cancelled = new Set(
      tasks.map(({ task, openAttempt }) => attemptKey(task, openAttempt.attempt)),
    );
    const statusBefore = await this.#callWorker(machine, endpoint, "GET", "/status");
    if (statusBefore === undefined) return "not_proved";
    const running = runningTasks(statusBefore, cancelled);
    if (running.length === 0) return "all_stopped";
    const stopCommands = running.map(
      ({ task, attempt }) => ({ op: "stop", task, attempt, graceS: 0 }) as const,
    );
    const body = commandsBody(statusBefore.token, statusBefore.epoch, stopCommands);
    const statusAfter = await this.#callWorker(machine, endpoint, "POST", "/orders", body);
    if (statusAfter === undefined || runningTasks(statusAfter, cancelled).length > 0)
      return "not_proved";
    this.counters.stoppedForOthers += running.length;
    return "all_stopped";
  }

  /** The worker's status; undefined without a valid answer or if another machine sent it. */
  async #callWorker(
    machine: MachineId,
    endpoint: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<WorkerStatus | undefined> {
    const reply = await this.workers.call(endpoint, method, path, body, WORKER_CALL_TIMEOUT_MS);
    const status = reply.kind === "answer" ? parseWorkerStatus(reply.body) : undefined;
    return status?.machine === machine ? status : undefined;
  }
}

/** Those of the given attempts that a worker's status shows as not ended. */
const runningTasks = (
  status: WorkerStatus,
  attemptKeys: ReadonlySet<string>,
): readonly TaskStatus[] =>
  status.tasks.filter(
    ({ phase, task, attempt }) => phase !== "ended" && attemptKeys.has(attemptKey(task, attempt)),
  );
