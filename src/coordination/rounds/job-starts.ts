/**
 * The attempts that one round opens for one job, from their choice to the job's new record.
 *
 * Owns the reserve step of placement: each chosen attempt is counted in its machine's use at once, so
 * that later choices see it, and all of them are taken back if the record can't be written.
 */
import { attemptNumber, type MachineId } from "@umberfold/ids";
import type { Settings } from "../../config/settings.js";
import { addUse, type CandidateMachine } from "../../scheduling/placement.js";
import { machineNameBytes, openAttemptBytes, progressBytes } from "../../storage/pages.js";
import type { LiveJob, OpenAttempt } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";

/** How much of a page the open attempts of one job may fill. */
const MAX_PAGE_FRACTION = 0.9;

/** Attempts to open for one job. */
export class JobStarts {
  /** The attempts chosen so far, in the order of their numbers. */
  readonly attempts: OpenAttempt[] = [];
  readonly #maxBytes: number;
  /** Machines that the job's record names already: their names take no more room in it. */
  readonly #namedMachines: Set<MachineId>;
  readonly #restoreUse: (() => void)[] = [];
  #bytes: number;
  #nextAttempt: number;

  constructor(
    private readonly job: LiveJob,
    { state, shardCount }: Pick<Settings, "state" | "shardCount">,
  ) {
    this.#maxBytes = maxPageBytes({ ...state, shardCount }) * MAX_PAGE_FRACTION;
    this.#namedMachines = new Set(job.open.map((attempt) => attempt.machine));
    this.#bytes = progressBytes(job);
    this.#nextAttempt = job.nextAttempt;
  }

  /**
   * Opens an attempt of the task with this index on the machine. Returns false, and takes no more,
   * once the job's open attempts fill its page: a job array too large for one page runs in parts.
   */
  tryAdd(index: number, machine: CandidateMachine): boolean {
    const attempt = attemptNumber(this.#nextAttempt);
    this.#bytes += openAttemptBytes({ index, attempt });
    if (!this.#namedMachines.has(machine.id)) this.#bytes += machineNameBytes(machine.id);
    if (this.#bytes > this.#maxBytes) return false;
    this.#nextAttempt++;
    this.#namedMachines.add(machine.id);
    this.attempts.push({ index, attempt, machine: machine.id });
    const { use, smallestDemand } = machine;
    this.#restoreUse.push(() => {
      machine.use = use;
      machine.smallestDemand = smallestDemand;
    });
    addUse(machine, this.job.spec.resources);
    return true;
  }

  /** The job with these attempts open. */
  draft(): LiveJob {
    const open = [...this.job.open, ...this.attempts];
    return { ...this.job, open, nextAttempt: this.#nextAttempt };
  }

  /** Takes the attempts out of their machines' use again. */
  undo(): void {
    for (const restore of this.#restoreUse.reverse()) restore();
  }
}
