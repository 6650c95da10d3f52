/**
 * The settings and machine types of a simulated deployment. It is small and has short timeouts, so
 * that a simulated day reaches its limits.
 */
import { parseSettings, type Settings } from "../../src/config/settings.js";

/** Time to live of a controller's and a worker's lease without renewal. */
export const LEASE_TTL_MS = 21_000;
/** Longest time that a job's tasks may stay on machines after its cancellation was confirmed. */
export const CANCELLATION_TIMEOUT_MS = 46_000;
/** Rate limit of the state store. */
export const STATE_STORE_REQUESTS_PER_SECOND = 250;

/** Teams with guaranteed processors. */
export const TEAMS = ["t0", "t1", "t2", "t3"];
/** A team without guaranteed processors. */
export const FLOOD_TEAM = "guest";

const GUARANTEED_CPUS = 8;

const teamTable = (name: string, cpus: number, maxCpus: number): string =>
  `[[params.teams]]\nname = "${name}"\ncpus = ${cpus}.0\ncpus_max = ${maxCpus}.0`;

const seedTables = (index: number, labels: readonly string[]): readonly string[] =>
  labels.flatMap((label, other) =>
    other === index
      ? []
      : [`[[seeds]]\nlabel = "${label}"\narea = "z"\naddress = "10.0.0.${other}:2"`],
  );

/** Builds the settings of the controller with this index. */
export const settingsOf = (
  index: number,
  labels: readonly string[],
  quotaCpus: number,
  hasFloodTeam: boolean,
): Settings => {
  const teams = TEAMS.map((name) => teamTable(name, GUARANTEED_CPUS, quotaCpus));
  if (hasFloodTeam) teams.push(teamTable(FLOOD_TEAM, 0, quotaCpus));
  const parsed = parseSettings(`
label = "${labels[index]}"
area = "z"
front = "10.0.0.${index}:1"
internal_addr = "10.0.0.${index}:2"
${seedTables(index, labels).join("\n")}
[services]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[params]
size = ${labels.length}
zones = ["a", "b"]
${teams.join("\n")}
[[params.objectives]]
kind = "wait"
class = "c"
within_s = 8.0
share = 0.95
[params.workers]
report_s = 3.0
lease_s = ${LEASE_TTL_MS / 1000}
cancel_s = ${CANCELLATION_TIMEOUT_MS / 1000}
[params.state]
rps = ${STATE_STORE_REQUESTS_PER_SECOND}.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 16
[params.cloud]
rps = 4.0
list_lag_s = 4.0
[params.resources]
cpu_share = 0.136
ram_mb = 178.0
max_sockets = 1200
`);
  if (!parsed.ok) throw new Error(parsed.faults.join("; "));
  return parsed.value;
};

/** The machine types that the cloud offers, with the field names on the wire. */
export const MACHINE_TYPES = [
  ["small", 8, 0.36],
  ["large", 16, 0.8],
].map(([label, cpus, price]) => ({
  label,
  cpus,
  gpus: 0,
  ramGb: Number(cpus) * 4,
  cacheGb: 30,
  pullGbPerS: 1,
  price,
  spotPrice: Number(price) / 2,
  bootS: 10,
  mills: ["a", "b"],
}));
