/** Whether machines can be reached from here again, asked before this controller rejoins. */
import type { HttpClient } from "../../transport/client.js";
import type { ControllerContext } from "../context.js";
import { DIRECT_CALL_MS } from "./direct-command-sender.js";

/** Machines that are asked, and what part of them must answer. */
const PROBES = 8;
const ANSWERED_PART = 0.5;

/**
 * Asks a few machines drawn at random, whoever owns them. True if enough of them answer, or if
 * there is none to ask.
 */
export const canReachMachines = async (
  { replica, random }: ControllerContext,
  workers: HttpClient,
): Promise<boolean> => {
  const candidates = [...replica.machines].filter(
    ([id, machine]) => machine.phase === "up" && machine.endpoint !== "" && !replica.isGone(id),
  );
  const endpoints: string[] = [];
  while (candidates.length > 0 && endpoints.length < PROBES) {
    const [row] = candidates.splice(Math.floor(random() * candidates.length), 1);
    if (row !== undefined) endpoints.push(row[1].endpoint);
  }
  const results = await Promise.all(
    endpoints.map((endpoint) =>
      workers.call(endpoint, "GET", "/status", undefined, DIRECT_CALL_MS),
    ),
  );
  const answers = results.filter(({ kind }) => kind === "answer").length;
  return answers >= endpoints.length * ANSWERED_PART;
};
