/**
 * Enforcement of cancellations for an owner that doesn't answer, while nothing can be written.
 *
 * The owner may have stopped, or be out of reach, after it acknowledged. Nobody can claim its shard
 * in an outage, so the others stop its cancelled tasks under the fencing token that the machine
 * shows: a command of an equal token is accepted from anyone.
 *
 * Owns when an owner last answered for a job. What must hold: tokens, forget commands and
 * termination stay the owner's; and machines are returned only while the store fails, since once it
 * is back its records decide.
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
import { FORCE_RETURN_FROM_FRACTION } from "./cancellation-action.js";
import type { ForcedReturns } from "./forced-returns.js";
import type { NoticeOutbox } from "./notice-outbox.js";

const WORKER_CALL_MS = 1200;
/** Machines of another owner called at a time. */
const MAX_CONCURRENT_MACHINES = 16;
/** While another owner answers for its cancelled tasks it is not asked about the job again. */
const OWNER_ANSWER_VALID_MS = 3000;

/** A cancelled job of a shard that another controller owns. */
export interface ForeignCancellation {
  readonly job: JobId;
  readonly notice: CancellationNotice;
  /** Milliseconds since the cancellation was recorded. */
  readonly ageMs: number;
}

interface CancelledTask {
  readonly task: TaskId;
  readonly open: OpenAttempt;
}

/** The cancelled tasks of one machine. */
interface MachineWork {
  readonly tasks: CancelledTask[];
  /** Age of the oldest cancellation among them. */
  ageMs: number;
}

/** Whether the machine itself has shown that none of the tasks is left on it. */
type StopResult = "all_stopped" | "not_proved";

/** Stops cancelled tasks on machines of owners that don't answer. */
export class UnreachableOwnerEnforcement {
  #state: "idle" | "running" = "idle";
  readonly #ownerAnsweredAt = new Map<JobId, MonotonicMs>();
  /** Tasks of other owners that were stopped from here, since the start. */
  readonly counters = { stoppedForOthers: 0 };

  /** @param workers direct connections to the machines */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly outbox: NoticeOutbox,
    private readonly forcedReturns: ForcedReturns,
    private readonly workers: HttpClient,
  ) {}

  /** Asks the owners, and enforces the cancellations of those that don't answer. One run at a time. */
  async enforce(cancellations: readonly ForeignCancellation[]): Promise<void> {
    if (this.#state === "running") return;
    this.#state = "running";
    try {
      const now = monotonicNow();
      this.#forgetFinishedJobs();
      const unanswered = await Promise.all(
        cancellations
          .filter(({ job }) => this.#answerIsStale(job, now))
          .map(async (one) => ((await this.#ownerAnswers(one.notice)) ? undefined : one)),
      );
      const machinesToReturn: MachineId[] = [];
      const queue = [...this.#workByMachine(unanswered)];
      const work = (): Promise<void> => this.#workThrough(queue, machinesToReturn);
      await Promise.all(Array.from({ length: MAX_CONCURRENT_MACHINES }, work));
      // Had the state store come back, its records would decide.
      if (this.ctx.store.isFailing()) await this.forcedReturns.returnMachines(machinesToReturn);
    } finally {
      this.#state = "idle";
    }
  }

  #forgetFinishedJobs(): void {
    for (const job of this.#ownerAnsweredAt.keys())
      if (!this.ctx.replica.accepted.has(job)) this.#ownerAnsweredAt.delete(job);
  }

  #answerIsStale(job: JobId, now: MonotonicMs): boolean {
    const answeredAt = this.#ownerAnsweredAt.get(job) ?? Number.NEGATIVE_INFINITY;
    return now - answeredAt > OWNER_ANSWER_VALID_MS;
  }

  async #ownerAnswers(notice: CancellationNotice): Promise<boolean> {
    const shard = this.ctx.replica.shardOf(notice.job);
    const owner = shard === undefined ? undefined : this.membership.ownerOf(shard)?.label;
    if (owner === undefined || owner === this.ctx.self.label) return false;
    const acknowledged = await this.outbox.send(owner, notice);
    if (acknowledged) this.#ownerAnsweredAt.set(notice.job, monotonicNow());
    return acknowledged;
  }

  #workByMachine(
    cancellations: readonly (ForeignCancellation | undefined)[],
  ): ReadonlyMap<MachineId, MachineWork> {
    const workByMachine = new Map<MachineId, MachineWork>();
    for (const cancellation of cancellations) {
      if (cancellation === undefined) continue;
      const { job, ageMs } = cancellation;
      for (const open of this.ctx.replica.job(job)?.open ?? []) {
        const work = workByMachine.get(open.machine) ?? { tasks: [], ageMs: 0 };
        work.tasks.push({ task: taskId(job, open.index), open });
        work.ageMs = Math.max(work.ageMs, ageMs);
        workByMachine.set(open.machine, work);
      }
    }
    return workByMachine;
  }

  /** Takes machines off the queue until it is empty; several of these run side by side. */
  async #workThrough(
    queue: (readonly [MachineId, MachineWork])[],
    machinesToReturn: MachineId[],
  ): Promise<void> {
    const cancelMs = this.ctx.settings.workers.cancelS * 1000;
    for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
      const [machine, { tasks, ageMs }] = next;
      if (this.ctx.replica.isGone(machine) || this.forcedReturns.includes(machine)) continue;
      if ((await this.#stopTasks(machine, tasks)) === "all_stopped") continue;
      if (ageMs >= cancelMs * FORCE_RETURN_FROM_FRACTION) machinesToReturn.push(machine);
    }
  }

  /** Has the machine stop these tasks, if any of them is there. */
  async #stopTasks(machine: MachineId, tasks: readonly CancelledTask[]): Promise<StopResult> {
    const endpoint = this.ctx.replica.machines.get(machine)?.endpoint ?? "";
    if (endpoint === "") return "not_proved";
    const cancelled = new Set(tasks.map(({ task, open }) => attemptKey(task, open.attempt)));
    const before = await this.#callWorker(machine, endpoint, "GET", "/status");
    if (before === undefined) return "not_proved";
    const running = runningOf(before, cancelled);
    if (running.length === 0) return "all_stopped";
    const stops = running.map(
      ({ task, attempt }) => ({ op: "stop", task, attempt, graceS: 0 }) as const,
    );
    const body = commandsBody(before.token, before.epoch, stops);
    const after = await this.#callWorker(machine, endpoint, "POST", "/orders", body);
    if (after === undefined || runningOf(after, cancelled).length > 0) return "not_proved";
    this.counters.stoppedForOthers += running.length;
    return "all_stopped";
  }

  /** The worker's status; undefined without an answer, or if another machine answers there. */
  async #callWorker(
    machine: MachineId,
    endpoint: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<WorkerStatus | undefined> {
    const reply = await this.workers.call(endpoint, method, path, body, WORKER_CALL_MS);
    const status = reply.kind === "answer" ? parseWorkerStatus(reply.body) : undefined;
    return status?.machine === machine ? status : undefined;
  }
}

/** Those of the given attempts that a worker's status shows as not ended. */
const runningOf = (status: WorkerStatus, attemptKeys: ReadonlySet<string>): readonly TaskStatus[] =>
  status.tasks.filter(
    ({ phase, task, attempt }) => phase !== "ended" && attemptKeys.has(attemptKey(task, attempt)),
  );
