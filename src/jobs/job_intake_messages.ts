/** The messages between callers' links and the job intake task. */

import type { StandingChanged } from "../contracts/standing.ts";
import type { PublicationResult, RecordEvent } from "../records/record_messages.ts";
import type { Refusal } from "../requests/refusal.ts";
import type { Reply } from "../tasks/mod.ts";
import type { JobAcceptedBody } from "./job_record_data.ts";
import type { Submission } from "./submission.ts";

/** A task of a job, as shown to callers. */
export interface TaskView {
  /** The state. */
  state: string;
  /** The number of the latest attempt; 0 before the first. */
  attempt: number;
  /** The worker, while the task is running. */
  worker?: string;
}

/** A job, as shown to callers. */
export interface JobView {
  /** The id. */
  jobId: string;
  /** The name of the queue. */
  queue: string;
  /** The state. */
  state: string;
  /** Why no more of its tasks are started; absent unless the job is stopping or was stopped. */
  stopReason?: string;
  /** The tasks. */
  tasks: TaskView[];
}

/** The answer to a caller's request about a job. */
export type JobAnswer =
  | { outcome: "accepted"; job: JobView }
  | { outcome: "refused"; refusal: Refusal };

/** A caller's request to get or to cancel a job. */
export interface JobQuery {
  /** The id of the job. */
  jobId: string;
  /** The key that the caller presented, if any. */
  presentedKey: string | undefined;
}

/** The messages that a `JobIntakeTask` accepts. */
export type JobIntakeMessage =
  | RecordEvent
  | StandingChanged
  | { kind: "submit"; submission: Submission; reply: Reply<JobAnswer> }
  | {
    kind: "submission-judged";
    submission: Submission;
    body: JobAcceptedBody;
    result: PublicationResult;
    reply: Reply<JobAnswer>;
  }
  | { kind: "get"; question: JobQuery; reply: Reply<JobAnswer> }
  | { kind: "cancel"; question: JobQuery; reply: Reply<JobAnswer> }
  | { kind: "send-cancellations" }
  | { kind: "cancellations-judged"; cancellations: Cancellation[]; result: PublicationResult }
  | { kind: "check-deadlines" };

/** A caller's request to cancel a job, waiting to be published. */
export interface Cancellation {
  /** The id of the job. */
  jobId: string;
  /** Sends the answer to the caller. */
  reply: Reply<JobAnswer>;
}
