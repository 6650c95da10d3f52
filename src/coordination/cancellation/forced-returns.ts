/**
 * Returns machines on which a cancelled task was not proved gone, by a direct call to the cloud.
 *
 * Holds the set of machines returned this way. Invariant: only `returnMachines` sends such a call,
 * and at most one is in flight. No record is written here: the cloud's status 200 proves that the
 * machines are gone, and their records are updated later in the same way as for other machines.
 */
import type { MachineId } from "@umberfold/ids";
import { MAX_RETURNS_PER_CALL, returnBody } from "../../protocol/cloud.js";
import type { HttpClient } from "../../transport/client.js";
import type { ControllerContext } from "../context.js";

const RETURN_CALL_TIMEOUT_MS = 5000;

/** Returns machines by direct calls to the cloud, which need neither a record nor a leader. */
export class ForcedReturns {
  readonly #returnedMachines = new Set<MachineId>();
  #state: "idle" | "calling" = "idle";
  /** How many returns the cloud has confirmed since the process started. */
  readonly counters = { forceReturned: 0 };

  /** @param cloud HTTP client for the cloud; its calls don't count against the leader's budget */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly cloud: HttpClient,
  ) {}

  /** Whether this controller has returned the machine, so that all tasks on it are gone. */
  hasReturned(machine: MachineId): boolean {
    return this.#returnedMachines.has(machine);
  }

  /**
   * Returns machines that were not returned before. Does nothing while a call is in flight: the
   * caller repeats the request in its next run. Idempotent, because the cloud ignores machines that
   * it doesn't know.
   */
  async returnMachines(candidates: readonly MachineId[]): Promise<void> {
    const machines = candidates
      .filter((machine) => !this.#returnedMachines.has(machine))
      .slice(0, MAX_RETURNS_PER_CALL);
    if (this.#state === "calling" || machines.length === 0) return;
    this.#state = "calling";
    try {
      const { settings, log } = this.ctx;
      const reply = await this.cloud.call(
        settings.cloudAddress,
        "POST",
        "/machines/return",
        returnBody(machines),
        RETURN_CALL_TIMEOUT_MS,
      );
      const isConfirmed = reply.kind === "answer" && reply.status === 200;
      log.info("machines force-returned", { machines, done: isConfirmed });
      if (!isConfirmed) return;
      this.counters.forceReturned += machines.length;
      for (const machine of machines) this.#returnedMachines.add(machine);
    } finally {
      this.#state = "idle";
    }
  }
}
