/** Error responses to callers: refusals as RFC 9457 problem documents. */

import type { ServerResponse } from "node:http";
import { type Refusal, RefusalReason } from "../requests/refusal.ts";

/** The response header that says whether the request was executed. */
export const OUTCOME_HEADER = "tanagerpin-outcome";

/** The HTTP status by refusal reason. */
const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.BadRequest]: 400,
  [RefusalReason.HeadTooLarge]: 431,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.UnknownService]: 404,
  [RefusalReason.NoKey]: 401,
  [RefusalReason.WrongKey]: 401,
  [RefusalReason.NoRights]: 403,
  [RefusalReason.OverLimit]: 429,
  [RefusalReason.QueueFull]: 429,
  [RefusalReason.DeadlinePassed]: 504,
  [RefusalReason.NoHost]: 503,
  [RefusalReason.NotReady]: 503,
  [RefusalReason.Isolated]: 503,
  [RefusalReason.TargetFailed]: 502,
  [RefusalReason.KeyReused]: 422,
  [RefusalReason.InProgress]: 409,
  [RefusalReason.ClaimLost]: 409,
  [RefusalReason.RequestTimeout]: 408,
  [RefusalReason.JobConflict]: 409,
  [RefusalReason.JobCannotRun]: 422,
  [RefusalReason.UnknownJob]: 404,
  [RefusalReason.LogUnavailable]: 503,
};

/** The problem document of a refusal. */
export interface ProblemDocument {
  /** The problem type, as a URI. */
  type: string;
  /** The refusal reason, in words. */
  title: string;
  /** The HTTP status of the response. */
  status: number;
  /** An explanation for the caller, in one sentence. */
  detail: string;
  /** Whether the request was executed. */
  outcome: string;
}

/** Creates the problem document of a refusal. */
export function createProblemDocument(refusal: Refusal): ProblemDocument {
  return {
    type: `urn:tanagerpin:refusal:${refusal.reason}`,
    title: refusal.reason.replaceAll("-", " "),
    status: STATUS_BY_REASON[refusal.reason],
    detail: refusal.detail,
    outcome: refusal.outcome,
  };
}

/** Sends a refusal as the response. */
export function sendProblem(response: ServerResponse, refusal: Refusal): void {
  const problem = createProblemDocument(refusal);
  const body = JSON.stringify(problem);
  response.statusCode = problem.status;
  response.setHeader("content-type", "application/problem+json");
  response.setHeader("content-length", Buffer.byteLength(body));
  response.setHeader(OUTCOME_HEADER, refusal.outcome);
  if (refusal.retryAfterMilliseconds !== undefined) {
    response.setHeader("retry-after", Math.ceil(refusal.retryAfterMilliseconds / 1_000));
  }
  response.end(body);
}
