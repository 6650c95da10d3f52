/**
 * The paths of users' requests and of the load balancer's, by what they ask for.
 *
 * A path says nothing of the method: whoever serves it checks that. Ids are as they came.
 */

/** What a path asks for. */
export type UserRequestTarget =
  | { readonly kind: "readiness" }
  | { readonly kind: "submission" }
  | { readonly kind: "status"; readonly id: string }
  | { readonly kind: "cancellation"; readonly id: string }
  | { readonly kind: "unknown" };

const READINESS: UserRequestTarget = { kind: "readiness" };
const SUBMISSION: UserRequestTarget = { kind: "submission" };
const UNKNOWN: UserRequestTarget = { kind: "unknown" };

/** Reads `/ready`, `/work`, `/work/ID` and `/work/ID/withdraw`. */
export const parseUserPath = (path: string): UserRequestTarget => {
  if (path === "/ready") return READINESS;
  if (path === "/work") return SUBMISSION;
  const [, root, id, action, ...more] = path.split("/");
  if (root !== "work" || id === undefined || more.length > 0) return UNKNOWN;
  if (action === undefined) return { kind: "status", id };
  return action === "withdraw" ? { kind: "cancellation", id } : UNKNOWN;
};
