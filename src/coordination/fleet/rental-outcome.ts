/**
 * What the cloud's answer to a rental means for its intent: a pure transition from the intent that
 * is being carried out to its end, if the answer brings one.
 */
import type { MachineId } from "@umberfold/ids";
import { parseRentedMachines } from "../../protocol/cloud.js";
import type { CloudResponse } from "./cloud-client.js";

/**
 * - `rented`: these machines, perhaps fewer than asked for; the intent is done;
 * - `refused`: the offer is not to be had, or can't be asked for; the intent is dropped;
 * - `undecided`: any other answer; the intent stays, and is carried out again under its name.
 */
export type RentalOutcome =
  | { readonly kind: "rented"; readonly machines: readonly MachineId[] }
  | { readonly kind: "refused" }
  | { readonly kind: "undecided" };

const isNoCapacityError = ({ status, body }: CloudResponse): boolean =>
  status === 503 && String(JSON.stringify(body)).includes("no capacity");

/** The outcome that an answer of the cloud brings. */
export const rentalOutcome = (answer: CloudResponse): RentalOutcome => {
  if (answer.status === 200)
    return { kind: "rented", machines: parseRentedMachines(answer.body) ?? [] };
  return isNoCapacityError(answer) || answer.status === 400
    ? { kind: "refused" }
    : { kind: "undecided" };
};
