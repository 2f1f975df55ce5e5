/** The messages between callers' links and the task that takes in jobs. */

import type { StandingChanged } from "../contracts/standing.ts";
import type { PublicationResult, RecordEvent } from "../records/record_messages.ts";
import type { Refusal } from "../requests/refusal.ts";
import type { Reply } from "../tasks/mod.ts";
import type { JobAcceptedBody } from "./job_record_data.ts";
import type { Submission } from "./submission.ts";

/** What a caller sees of a task of a job. */
export interface TaskView {
  /** Its state. */
  state: string;
  /** The number of its newest attempt. */
  attempt: number;
  /** The worker on which it runs, if it runs. */
  worker?: string;
}

/** What a caller sees of a job. */
export interface JobView {
  /** The id. */
  jobId: string;
  /** The queue. */
  queue: string;
  /** Its state. */
  state: string;
  /** Why no more of its tasks start, if so. */
  stopReason?: string;
  /** Its tasks. */
  tasks: TaskView[];
}

/** What becomes of a caller's wish about a job. */
export type JobAnswer =
  | { outcome: "accepted"; job: JobView }
  | { outcome: "refused"; refusal: Refusal };

/** A caller's question or wish about one job. */
export interface JobQuery {
  /** The id of the job. */
  jobId: string;
  /** The text of the key, if one came. */
  presentedKey: string | undefined;
}

/** The messages that the task that takes in jobs takes. */
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

/** A job that its caller wishes to cancel. */
export interface Cancellation {
  /** The id of the job. */
  jobId: string;
  /** Answers the caller. */
  reply: Reply<JobAnswer>;
}
