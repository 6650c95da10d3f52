/** The dependencies that accepting and cancelling jobs share. The user API owns them. */
import type { ControllerContext } from "../coordination/context.js";
import type { GroupCommit } from "../storage/group-commit.js";
import type { JobReader } from "../storage/job-reader.js";
import type { JobAnswers } from "./job-answers.js";

/** Each dependency lives as long as the controller. */
export interface JobWriteDependencies {
  readonly ctx: ControllerContext;
  readonly jobs: JobReader;
  readonly writes: GroupCommit;
  readonly answers: JobAnswers;
  /** Makes a scheduling round run soon. */
  readonly wake: () => void;
}
