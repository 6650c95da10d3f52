/**
 * Probes whether machines are reachable again, before a controller that has released its shards
 * rejoins.
 */
import type { HttpClient } from "../../transport/client.js";
import type { ControllerContext } from "../context.js";
import { DIRECT_CALL_TIMEOUT_MS } from "./direct-command-sender.js";

/** The number of machines that are called, and the fraction of them that must answer. */
const MAX_PROBED_MACHINES = 8;
const MIN_ANSWERED_FRACTION = 0.5;

/**
 * Asks a few randomly chosen machines for their status, whichever controller owns them. True if
 * enough of them answer, or if there is no machine to ask.
 */
export const canReachMachines = async (
  { replica, random }: ControllerContext,
  workerClient: HttpClient,
): Promise<boolean> => {
  const candidates = [...replica.machines].filter(
    ([id, machine]) => machine.phase === "up" && machine.endpoint !== "" && !replica.isGone(id),
  );
  const endpoints: string[] = [];
  while (candidates.length > 0 && endpoints.length < MAX_PROBED_MACHINES) {
    const [candidate] = candidates.splice(Math.floor(random() * candidates.length), 1);
    if (candidate !== undefined) endpoints.push(candidate[1].endpoint);
  }
  const results = await Promise.all(
    endpoints.map((endpoint) =>
      workerClient.call(endpoint, "GET", "/status", undefined, DIRECT_CALL_TIMEOUT_MS),
    ),
  );
  const answerCount = results.filter(({ kind }) => kind === "answer").length;
  return answerCount >= endpoints.length * MIN_ANSWERED_FRACTION;
};
