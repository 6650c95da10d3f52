/** A plan of the fleet as log lines, one for each shard: for tuning, and written at level debug only. */
import type { FleetMachine, FleetPlan } from "../../scheduling/fleet-plan.js";
import { waitingTaskCount } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

const totalCpus = (machines: readonly FleetMachine[]): number =>
  machines.reduce((sum, machine) => sum + machine.type.capacity.cpus, 0);

/** `class.priority=level` of each demand group; the parts of its key between them are left out. */
const levelTexts = (levels: ReadonlyMap<string, number>): readonly string[] =>
  [...levels].map(
    ([key, level]) => `${key.split("|")[0]}.${key.split("|").pop()}=${level.toFixed(1)}`,
  );

/** Writes the log event `fleet planned` for each shard; processors are counted, not machines. */
export const logFleetPlan = (
  { log, replica }: ControllerContext,
  machines: readonly FleetMachine[],
  plan: FleetPlan,
  levels: ReadonlyMap<string, number>,
): void => {
  for (const shard of replica.shardOwners.keys()) {
    const inShard = machines.filter((machine) => machine.shard === shard);
    const waiting = [...replica.shardJobs(shard).index.waitingJobs.values()];
    log.debug("fleet planned", {
      shard,
      upCpus: totalCpus(inShard.filter((machine) => machine.up)),
      bootingCpus: totalCpus(inShard.filter((machine) => !machine.up)),
      usedCpus: inShard.reduce((sum, machine) => sum + machine.use.cpus, 0),
      emptyCpus: totalCpus(inShard.filter((machine) => machine.up && machine.openAttempts === 0)),
      waitingCpus: waiting.reduce(
        (sum, job) => sum + waitingTaskCount(job) * job.spec.resources.cpus,
        0,
      ),
      levels: levelTexts(levels),
      transfers: plan.transfers.filter((transfer) => transfer.to === shard).length,
      rentals: plan.rentals.flatMap((rental) => rental.shards).filter((to) => to === shard).length,
    });
  }
};
