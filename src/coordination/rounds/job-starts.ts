/**
 * The attempts that one round opens for one job, and the job record that lists them.
 *
 * Owns the reserve step of placement: each attempt is added to its machine's used resources at
 * once, so that later choices in the round take it into account. If the job record doesn't fit into
 * the round's transaction, `undo` restores the used resources of all these machines.
 */
import { attemptNumber, type MachineId } from "@umberfold/ids";
import type { Settings } from "../../config/settings.js";
import { addUsedResources, type CandidateMachine } from "../../scheduling/placement.js";
import { machineIdBytes, openAttemptBytes, progressBytes } from "../../storage/pages.js";
import type { LiveJob, OpenAttempt } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";

/** The largest fraction of a page that the record of one job may fill. */
const MAX_PAGE_FRACTION = 0.9;

/** Collects the attempts that a round opens for one job. */
export class JobStarts {
  /** The attempts added so far, in the order of their attempt numbers. */
  readonly attempts: OpenAttempt[] = [];
  readonly #maxRecordBytes: number;
  /** Machines whose names the job's record contains already: a name is stored only once. */
  readonly #namedMachines: Set<MachineId>;
  /** One function for each attempt, which restores the machine's previous `usedResources`. */
  readonly #restoreUsedResources: (() => void)[] = [];
  /** The size of the job's record with the attempts added so far. */
  #recordBytes: number;
  #nextAttempt: number;

  constructor(
    private readonly job: LiveJob,
    { state, shardCount }: Pick<Settings, "state" | "shardCount">,
  ) {
    this.#maxRecordBytes = maxPageBytes({ ...state, shardCount }) * MAX_PAGE_FRACTION;
    this.#namedMachines = new Set(job.open.map((attempt) => attempt.machine));
    this.#recordBytes = progressBytes(job);
    this.#nextAttempt = job.nextAttempt;
  }

  /**
   * Opens an attempt of the task with this index on the machine. Returns false, and adds nothing
   * from then on, once the job's record would exceed its part of a page; the remaining tasks of
   * such a large job array start in later rounds, after some of its open attempts have ended.
   */
  tryAdd(index: number, machine: CandidateMachine): boolean {
    const attempt = attemptNumber(this.#nextAttempt);
    this.#recordBytes += openAttemptBytes({ index, attempt });
    if (!this.#namedMachines.has(machine.id)) this.#recordBytes += machineIdBytes(machine.id);
    if (this.#recordBytes > this.#maxRecordBytes) return false;
    this.#nextAttempt++;
    this.#namedMachines.add(machine.id);
    this.attempts.push({ index, attempt, machine: machine.id });
    const { usedResources, smallestDemand } = machine;
    this.#restoreUsedResources.push(() => {
      machine.usedResources = usedResources;
      machine.smallestDemand = smallestDemand;
    });
    addUsedResources(machine, this.job.spec.resources);
    return true;
  }

  /** The job with these attempts added to its open attempts. */
  draft(): LiveJob {
    const open = [...this.job.open, ...this.attempts];
    return { ...this.job, open, nextAttempt: this.#nextAttempt };
  }

  /** Removes the attempts from the used resources of their machines, the last one first. */
  undo(): void {
    for (const restore of this.#restoreUsedResources.reverse()) restore();
  }
}
