/** What accepting and cancelling a job both need. The user API owns it all. */
import type { ControllerContext } from "../coordination/context.js";
import type { GroupCommit } from "../storage/group-commit.js";
import type { JobReader } from "../storage/job-reader.js";
import type { JobAnswers } from "./job-answers.js";

/** The shared parts, each of which lives as long as the controller. */
export interface JobWriteDependencies {
  readonly ctx: ControllerContext;
  readonly jobs: JobReader;
  readonly writes: GroupCommit;
  readonly answers: JobAnswers;
  /** Has a round run soon. */
  readonly wake: () => void;
}
