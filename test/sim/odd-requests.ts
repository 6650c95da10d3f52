/**
 * Odd requests of users and their expected responses: repeated submissions, cancellations of done
 * jobs, infeasible or incomplete submissions, and requests about unknown jobs.
 */
import type { ControllerResponse } from "./controllers.js";
import type { Body, FakeResponse } from "./fakes/message.js";
import type { UserJob } from "./user-job.js";
import type { UserDependencies } from "./users.js";

/** More processors than any machine has. */
const INFEASIBLE_CPUS = 400;
/** Statuses that any request may get: service overloaded, or state store in an outage. */
const TEMPORARY_ERROR_STATUSES: readonly number[] = [429, 503];

/** A chosen odd request, with a job that the service knows and a submission that it doesn't. */
interface OddRequest {
  readonly dependencies: UserDependencies;
  readonly kind: number;
  readonly job: UserJob;
  readonly unknownSpec: Body;
}

type SendOddRequest = (odd: OddRequest) => Promise<void>;

const sendRequest = (
  { dependencies }: OddRequest,
  method: string,
  path: string,
  body?: Body,
): Promise<ControllerResponse | undefined> => {
  const { context, controllers } = dependencies;
  context.occurrences.oddRequests++;
  return controllers.request(context.randomLabel(), method, path, body);
};

const expectStatus = (odd: OddRequest, answer: FakeResponse | undefined, status: number): void => {
  if (answer !== undefined && ![status, ...TEMPORARY_ERROR_STATUSES].includes(answer.status))
    odd.dependencies.context.recordViolation("odd_answer", `${odd.kind} ${answer.status}`);
};

/** Expects a successful response about the known job, and passes it to the safety checker. */
const expectKnownJob = (odd: OddRequest, answer: ControllerResponse | undefined): void => {
  expectStatus(odd, answer, 200);
  odd.dependencies.checker.onJobResponse(odd.job, answer);
};

const repeatSubmission: SendOddRequest = async (odd) => {
  expectKnownJob(odd, await sendRequest(odd, "POST", "/work", odd.job.spec));
};

const cancelDoneJob: SendOddRequest = async (odd) => {
  if (odd.job.finalState !== "done") return;
  expectKnownJob(odd, await sendRequest(odd, "POST", `/work/${odd.job.id}/withdraw`));
};

const submitInfeasible: SendOddRequest = async (odd) => {
  const spec = { ...odd.unknownSpec, cpus: INFEASIBLE_CPUS };
  expectStatus(odd, await sendRequest(odd, "POST", "/work", spec), 422);
  expectStatus(odd, await sendRequest(odd, "GET", `/work/${odd.unknownSpec.uid}`), 404);
};

const submitIncomplete: SendOddRequest = async (odd) => {
  const { knotS: _missing, ...incomplete } = odd.unknownSpec;
  expectStatus(odd, await sendRequest(odd, "POST", "/work", incomplete), 400);
  expectStatus(odd, await sendRequest(odd, "POST", `/work/${odd.unknownSpec.uid}/withdraw`), 404);
};

/** A repeated submission of a known job succeeds even if it lacks a field. */
const repeatIncomplete: SendOddRequest = async (odd) => {
  const { spoolS: _missing, ...incomplete } = odd.job.spec;
  expectKnownJob(odd, await sendRequest(odd, "POST", "/work", incomplete));
};

/** Indexed by the number that a violation reports. */
const ODD_REQUESTS: readonly SendOddRequest[] = [
  repeatSubmission,
  cancelDoneJob,
  submitInfeasible,
  submitIncomplete,
  repeatIncomplete,
];

/** Sends one odd request about a random accepted job; does nothing if no job is accepted yet. */
export const sendOddRequest = (dependencies: UserDependencies): void => {
  const { clock } = dependencies.context;
  const known = [...dependencies.jobs.values()].filter((job) => job.accepted);
  const job = known[Math.floor(clock.random() * known.length)];
  const kind = Math.floor(clock.random() * ODD_REQUESTS.length);
  const uid = `wk-9${String(Math.floor(clock.random() * 1e6))}`;
  if (job === undefined) return;
  const unknownSpec = { ...job.spec, uid };
  void ODD_REQUESTS[kind]?.({ dependencies, kind, job, unknownSpec });
};
