/**
 * Parses the paths of requests from users and from the load balancer.
 *
 * The HTTP method is checked by the request handler. IDs are not validated here.
 */

/** The target of a request. */
export type UserRequestTarget =
  | { readonly kind: "readiness" }
  | { readonly kind: "submission" }
  | { readonly kind: "status"; readonly id: string }
  | { readonly kind: "cancellation"; readonly id: string }
  | { readonly kind: "unknown" };

const READINESS: UserRequestTarget = { kind: "readiness" };
const SUBMISSION: UserRequestTarget = { kind: "submission" };
const UNKNOWN: UserRequestTarget = { kind: "unknown" };

/** Parses `/ready`, `/work`, `/work/ID` and `/work/ID/withdraw`. */
export const parseUserPath = (path: string): UserRequestTarget => {
  if (path === "/ready") return READINESS;
  if (path === "/work") return SUBMISSION;
  const [, root, id, action, ...more] = path.split("/");
  if (root !== "work" || id === undefined || more.length > 0) return UNKNOWN;
  if (action === undefined) return { kind: "status", id };
  return action === "withdraw" ? { kind: "cancellation", id } : UNKNOWN;
};
