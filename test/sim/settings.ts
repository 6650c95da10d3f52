import { parseSettings, type Settings } from "../../src/config/settings.js";

/** The settings and the machine types of a simulated deployment. */
export const LEASE_MS = 21_000;
export const CANCEL_MS = 46_000;
export const STATE_RPS = 250;

export const TEAMS = ["t0", "t1", "t2", "t3"];
/** A team without a guarantee. */
export const FLOOD_TEAM = "guest";

const team = (name: string, cpus: number, most: number): string =>
  `[[params.teams]]\nname = "${name}"\ncpus = ${cpus}.0\ncpus_max = ${most}.0`;

export const settingsOf = (
  n: number,
  labels: readonly string[],
  quota: number,
  hasFloodTeam: boolean,
): Settings => {
  const teams = TEAMS.map((name) => team(name, 8, quota));
  if (hasFloodTeam) teams.push(team(FLOOD_TEAM, 0, quota));
  const seeds = labels.flatMap((label, i) =>
    i === n ? [] : [`[[seeds]]\nlabel = "${label}"\narea = "z"\naddress = "10.0.0.${i}:2"`],
  );
  const parsed = parseSettings(`
label = "${labels[n]}"
area = "z"
front = "10.0.0.${n}:1"
internal_addr = "10.0.0.${n}:2"
${seeds.join("\n")}
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
lease_s = ${LEASE_MS / 1000}
cancel_s = ${CANCEL_MS / 1000}
[params.state]
rps = ${STATE_RPS}.0
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
