/**
 * Returns of machines on which a cancelled task stays, by a direct call of the cloud.
 *
 * Owns which machines were returned so. What must hold: a call goes out only from `returnMachines`,
 * one at a time. No record is written here: the 200 proves that the machines are gone, and their
 * records follow by the ordinary way.
 */
import type { MachineId } from "@umberfold/ids";
import { MAX_RETURNS_PER_CALL, returnBody } from "../../protocol/cloud.js";
import type { HttpClient } from "../../transport/client.js";
import type { ControllerContext } from "../context.js";

const CLOUD_TIMEOUT_MS = 5000;

/** Machines returned by direct calls, which need neither a record nor a leader. */
export class ForcedReturns {
  readonly #returned = new Set<MachineId>();
  #state: "idle" | "calling" = "idle";
  /** Machines whose return the cloud has confirmed, since the start. */
  readonly counters = { forceReturned: 0 };

  /** @param cloud the cloud, outside of the leader's budget of calls */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly cloud: HttpClient,
  ) {}

  /** Whether a call of this controller has returned the machine: all on it is gone. */
  includes(machine: MachineId): boolean {
    return this.#returned.has(machine);
  }

  /**
   * Returns machines, unless a call is in flight already: the next look repeats what is left.
   * Harmless to repeat, for the cloud ignores machines that it doesn't know.
   */
  async returnMachines(candidates: readonly MachineId[]): Promise<void> {
    const machines = candidates
      .filter((machine) => !this.#returned.has(machine))
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
        CLOUD_TIMEOUT_MS,
      );
      const done = reply.kind === "answer" && reply.status === 200;
      log.info("machines force-returned", { machines, done });
      if (!done) return;
      this.counters.forceReturned += machines.length;
      for (const machine of machines) this.#returned.add(machine);
    } finally {
      this.#state = "idle";
    }
  }
}
