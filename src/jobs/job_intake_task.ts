/** Serves callers' requests about jobs: publishes changes as records, and answers from the log. */

import { randomUUID } from "node:crypto";
import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import { Fleet } from "../records/fleet.ts";
import type { PublicationResult, RecordMessage } from "../records/record_messages.ts";
import { createNotRunRefusal, Outcome, type Refusal, RefusalReason } from "../requests/refusal.ts";
import { type Address, ask, type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import type { Job } from "./job.ts";
import type {
  Cancellation,
  JobAnswer,
  JobIntakeMessage,
  JobQuery,
  JobView,
} from "./job_intake_messages.ts";
import { JobRecordKind, MAXIMUM_ENTRIES_PER_RECORD } from "./job_record_data.ts";
import { decideSubmission, findJobForCaller, type Submission } from "./submission.ts";

/** How long cancellations are collected before they are published in one record. */
const CANCELLATION_BATCH_DELAY_MILLISECONDS = 20;

/** How long a request for an unknown job waits for a newer read of the log. */
const NEWER_READ_TIMEOUT_MILLISECONDS = 5_000;

/** The delay before a refused caller should retry; also the interval of timeout checks. */
const RETRY_DELAY_MILLISECONDS = 1_000;

/** Options of a `JobIntakeTask`. */
export interface JobIntakeTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The monotonic clock, by which waiting requests time out. */
  clock: ElapsedClock;
  /** The task that publishes records. */
  records: Address<RecordMessage>;
}

interface WaitingQuery {
  askedAt: number;
  message: JobIntakeMessage & { kind: "get" | "cancel" };
}

/** Owns the callers' requests that wait for the log. */
export class JobIntakeTask extends Task<JobIntakeMessage> {
  readonly #options: JobIntakeTaskOptions;
  readonly #timer: NodeJS.Timeout;
  #fleet = Fleet.createEmpty();
  #grant: StandingGrant | undefined;
  #waiting: WaitingQuery[] = [];
  #cancellations: Cancellation[] = [];
  #batchTimer: NodeJS.Timeout | undefined;

  private constructor(options: JobIntakeTaskOptions) {
    super({ name: "job-intake" });
    this.#options = options;
    this.#timer = setInterval(
      () => this.post({ kind: "check-deadlines" }),
      RETRY_DELAY_MILLISECONDS,
    );
  }

  /** Creates the task and starts its timer. */
  static create(options: JobIntakeTaskOptions): JobIntakeTask {
    return new JobIntakeTask(options);
  }

  protected override receive(message: JobIntakeMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        this.#fleet = message.fleet;
        return;
      case "standing-changed":
        this.#grant = message.grant;
        return;
      case "log-read":
        return this.#answerWaiting(message.startedAt);
      case "submit":
        return this.#submit(message.submission, message.reply);
      case "submission-judged":
        return this.#answerSubmission(message);
      case "get":
      case "cancel":
        return this.#handleQuery(message);
      case "send-cancellations":
        return this.#sendCancellations();
      case "cancellations-judged":
        return this.#answerCancellations(message.cancellations, message.result);
      case "check-deadlines":
        return this.#expireWaiting();
    }
  }

  override getState(): unknown {
    return { waitingQuestions: this.#waiting.length, cancellations: this.#cancellations.length };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
    clearTimeout(this.#batchTimer);
  }

  #submit(submission: Submission, reply: Reply<JobAnswer>): void {
    const refusal = this.#findStandingRefusal();
    if (refusal !== undefined) return reply({ outcome: "refused", refusal });
    const decision = decideSubmission(this.#fleet, submission);
    if (decision.outcome === "refused") return reply(decision);
    if (decision.outcome === "known") return this.#replyWithJob(decision.jobId, reply);
    const { body } = decision;
    void this.#publish(JobRecordKind.Accepted, body).then((result) => {
      const message = { kind: "submission-judged", submission, body, result, reply } as const;
      if (!this.post(message)) reply(createUnknownOutcome("this entry host has stopped"));
    });
  }

  /** If a repeat of the same submission was accepted first, the caller gets the accepted job. */
  #answerSubmission(message: JobIntakeMessage & { kind: "submission-judged" }): void {
    const { submission, body, result, reply } = message;
    if (result.outcome === "unknown") return reply(createUnknownOutcome(result.reason));
    const decision = decideSubmission(this.#fleet, submission);
    if (decision.outcome === "known") return this.#replyWithJob(body.jobId, reply);
    if (decision.outcome === "refused") return reply(decision);
    const detail = result.verdict.reason;
    reply({ outcome: "refused", refusal: createNotRunRefusal(RefusalReason.JobCannotRun, detail) });
  }

  #handleQuery(message: JobIntakeMessage & { kind: "get" | "cancel" }): void {
    const refusal = this.#findStandingRefusal();
    if (refusal !== undefined) return message.reply({ outcome: "refused", refusal });
    if (this.#answerQuery(message)) return;
    this.#waiting.push({ askedAt: this.#options.clock.getElapsed(), message });
  }

  /** Answers a request unless the job is unknown, and gets whether it did. */
  #answerQuery(message: JobIntakeMessage & { kind: "get" | "cancel" }): boolean {
    const { reply } = message;
    const found = this.#find(message.question);
    if (found === undefined) return false;
    if ("reason" in found) reply({ outcome: "refused", refusal: found });
    else if (message.kind === "get" || !found.isActive()) reply(createAccepted(found));
    else this.#addCancellation({ jobId: found.getId(), reply });
    return true;
  }

  #find({ jobId, presentedKey }: JobQuery): Job | Refusal | undefined {
    return findJobForCaller(this.#fleet, jobId, presentedKey);
  }

  /** A job that is missing from a read of the log begun after the request does not exist. */
  #answerWaiting(readStartedAt: number): void {
    const answerable = this.#waiting.filter(({ askedAt }) => askedAt <= readStartedAt);
    this.#waiting = this.#waiting.filter(({ askedAt }) => askedAt > readStartedAt);
    for (const { message } of answerable) {
      if (this.#answerQuery(message)) continue;
      const detail = `no job ${message.question.jobId} is active or ended recently`;
      const refusal = createNotRunRefusal(RefusalReason.UnknownJob, detail);
      message.reply({ outcome: "refused", refusal });
    }
  }

  #expireWaiting(): void {
    const oldest = this.#options.clock.getElapsed() - NEWER_READ_TIMEOUT_MILLISECONDS;
    const expired = this.#waiting.filter(({ askedAt }) => askedAt < oldest);
    this.#waiting = this.#waiting.filter(({ askedAt }) => askedAt >= oldest);
    for (const { message } of expired) {
      message.reply(createUnknownOutcome("no newer read of the log completed in time"));
    }
  }

  #addCancellation(cancellation: Cancellation): void {
    this.#cancellations.push(cancellation);
    this.#batchTimer ??= setTimeout(() => {
      this.post({ kind: "send-cancellations" });
    }, CANCELLATION_BATCH_DELAY_MILLISECONDS);
  }

  #sendCancellations(): void {
    this.#batchTimer = undefined;
    const queued = this.#cancellations;
    this.#cancellations = [];
    for (let start = 0; start < queued.length; start += MAXIMUM_ENTRIES_PER_RECORD) {
      const cancellations = queued.slice(start, start + MAXIMUM_ENTRIES_PER_RECORD);
      const jobIds = [...new Set(cancellations.map(({ jobId }) => jobId))];
      void this.#publish(JobRecordKind.Cancelled, { jobIds }).then((result) => {
        const message = { kind: "cancellations-judged", cancellations, result } as const;
        if (this.post(message)) return;
        for (const { reply } of cancellations) {
          reply(createUnknownOutcome("this entry host has stopped"));
        }
      });
    }
  }

  #answerCancellations(cancellations: Cancellation[], result: PublicationResult): void {
    for (const { jobId, reply } of cancellations) {
      if (result.outcome === "unknown") reply(createUnknownOutcome(result.reason));
      else this.#replyWithJob(jobId, reply);
    }
  }

  #replyWithJob(jobId: string, reply: Reply<JobAnswer>): void {
    const job = this.#fleet.getJob(jobId);
    reply(
      job === undefined
        ? createUnknownOutcome("the job ended too long ago to be known")
        : createAccepted(job),
    );
  }

  #findStandingRefusal(): Refusal | undefined {
    const standing = getStandingAt(this.#grant, this.#options.clock.getElapsed());
    if (standing === Standing.Current) return undefined;
    const isOutage = standing === Standing.Outage;
    const reason = isOutage ? RefusalReason.LogUnavailable : RefusalReason.Isolated;
    const detail = isOutage
      ? "the log does not answer; jobs are accepted again once it does"
      : "this entry host may have missed a change";
    return createNotRunRefusal(reason, detail, RETRY_DELAY_MILLISECONDS);
  }

  #publish(kind: JobRecordKind, body: unknown): Promise<PublicationResult> {
    const draft = { id: randomUUID(), kind, version: 1, author: this.#options.memberId, body };
    return ask<RecordMessage, PublicationResult>(
      this.#options.records,
      (reply) => ({ kind: "publish", draft, reply }),
      () => ({ outcome: "unknown", reason: "this entry host is overloaded" }),
    );
  }
}

/** Gets a job as shown to callers. */
export function createJobView(job: Job): JobView {
  const { jobId, queue, state, stopReason, tasks } = job.getData();
  return {
    jobId,
    queue,
    state,
    ...(stopReason === undefined ? {} : { stopReason }),
    tasks: tasks.map(({ state, attempt, running }) => ({
      state,
      attempt,
      ...(running === undefined ? {} : { worker: running.worker }),
    })),
  };
}

function createAccepted(job: Job): JobAnswer {
  return { outcome: "accepted", job: createJobView(job) };
}

/** The record may still be accepted; repeating the request is safe and shows the result. */
function createUnknownOutcome(detail: string): JobAnswer {
  const reason = RefusalReason.LogUnavailable;
  const retryAfterMilliseconds = RETRY_DELAY_MILLISECONDS;
  const refusal = { reason, outcome: Outcome.Unknown, detail, retryAfterMilliseconds };
  return { outcome: "refused", refusal };
}
