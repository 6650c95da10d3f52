/**
 * Maps the cloud's response to a rental to the outcome of the rental intent, as a pure function.
 */
import type { MachineId } from "@umberfold/ids";
import { parseRentedMachines } from "../../protocol/cloud.js";
import type { CloudResponse } from "./cloud-client.js";

/**
 * - `rented`: the cloud rented these machines, possibly fewer than requested; the intent is
 *   complete.
 * - `refused`: the cloud has no capacity or rejects the request as invalid; the intent is deleted.
 * - `undecided`: any other response; the intent remains and is executed again under the same name.
 */
export type RentalOutcome =
  | { readonly kind: "rented"; readonly machines: readonly MachineId[] }
  | { readonly kind: "refused" }
  | { readonly kind: "undecided" };

const isNoCapacityError = ({ status, body }: CloudResponse): boolean =>
  status === 503 && String(JSON.stringify(body)).includes("no capacity");

/** The outcome of a rental intent, given the cloud's response. */
export const rentalOutcome = (response: CloudResponse): RentalOutcome => {
  if (response.status === 200)
    return { kind: "rented", machines: parseRentedMachines(response.body) ?? [] };
  return isNoCapacityError(response) || response.status === 400
    ? { kind: "refused" }
    : { kind: "undecided" };
};
