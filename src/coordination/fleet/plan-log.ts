/** Logs a fleet plan at level debug, one event for each shard, as an aid for tuning. */
import type { FleetMachine, FleetPlan } from "../../scheduling/fleet-plan.js";
import { waitingTaskCount } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";

const totalCpus = (machines: readonly FleetMachine[]): number =>
  machines.reduce((sum, machine) => sum + machine.type.capacity.cpus, 0);

/** Formats each level as `class.tier=level`: the first and the last part of its key. */
const formatLevels = (levels: ReadonlyMap<string, number>): readonly string[] =>
  [...levels].map(
    ([key, level]) => `${key.split("|")[0]}.${key.split("|").pop()}=${level.toFixed(1)}`,
  );

/** Logs the event `fleet planned` for each shard; amounts are in processors, not in machines. */
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
      upCpus: totalCpus(inShard.filter((machine) => machine.isUp)),
      bootingCpus: totalCpus(inShard.filter((machine) => !machine.isUp)),
      usedCpus: inShard.reduce((sum, machine) => sum + machine.usedResources.cpus, 0),
      emptyCpus: totalCpus(inShard.filter((machine) => machine.isUp && machine.openAttempts === 0)),
      waitingCpus: waiting.reduce(
        (sum, job) => sum + waitingTaskCount(job) * job.spec.resources.cpus,
        0,
      ),
      levels: formatLevels(levels),
      transfers: plan.transfers.filter((transfer) => transfer.to === shard).length,
      rentals: plan.rentals.flatMap((rental) => rental.shards).filter((to) => to === shard).length,
    });
  }
};
