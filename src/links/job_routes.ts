/** The HTTP routes for jobs: `POST /jobs/{queue}`, `GET /jobs/{id}` and `DELETE /jobs/{id}`. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { App } from "@tinyhttp/app";
import { getErrorMessage } from "../errors/mod.ts";
import type { JobAnswer, JobIntakeMessage } from "../jobs/job_intake_messages.ts";
import { createNotRunRefusal, RefusalReason } from "../requests/refusal.ts";
import { type Address, ask, type Reply } from "../tasks/mod.ts";
import { sendProblem } from "./problem_document.ts";

/** The maximum size of a submission, in bytes; a job must fit in one record of the log. */
const MAXIMUM_SUBMISSION_BYTES = 200_000;

/** The status of a response to an accepted submission or cancellation. */
const ACCEPTED_STATUS = 202;

/** Adds the routes to the listener for callers. */
export function addJobRoutes(app: App, intake: Address<JobIntakeMessage>): void {
  app.post(
    "/jobs/:name",
    (request, response) =>
      void submit(intake, request as unknown as IncomingMessage, toResponse(response)),
  );
  app.get(
    "/jobs/:name",
    (request, response) =>
      void queryJob(intake, "get", request as unknown as IncomingMessage, toResponse(response)),
  );
  app.delete(
    "/jobs/:name",
    (request, response) =>
      void queryJob(intake, "cancel", request as unknown as IncomingMessage, toResponse(response)),
  );
}

async function submit(
  intake: Address<JobIntakeMessage>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const description = await readJson(request).catch((error) => {
    const detail = getErrorMessage(error);
    sendProblem(response, createNotRunRefusal(RefusalReason.BadRequest, detail));
  });
  if (description === undefined) return;
  const queue = getNameFromPath(request);
  const submission = { queue, presentedKey: getPresentedKey(request), description };
  const answer = await askIntake(intake, (reply) => ({ kind: "submit", submission, reply }));
  send(response, answer, ACCEPTED_STATUS);
}

async function queryJob(
  intake: Address<JobIntakeMessage>,
  kind: "get" | "cancel",
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const question = { jobId: getNameFromPath(request), presentedKey: getPresentedKey(request) };
  const answer = await askIntake(intake, (reply) => ({ kind, question, reply }));
  send(response, answer, kind === "get" ? 200 : ACCEPTED_STATUS);
}

/** Asks the intake. An overload has the reason of a full queue: callers handle both alike. */
function askIntake(
  intake: Address<JobIntakeMessage>,
  build: (reply: Reply<JobAnswer>) => JobIntakeMessage,
): Promise<JobAnswer> {
  const refusal = createNotRunRefusal(
    RefusalReason.QueueFull,
    "this entry host is overloaded",
    1_000,
  );
  return ask(intake, build, (): JobAnswer => ({ outcome: "refused", refusal }));
}

function send(response: ServerResponse, answer: JobAnswer, status: number): void {
  if (answer.outcome === "refused") return sendProblem(response, answer.refusal);
  const body = JSON.stringify(answer.job);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Gets the queue name or job ID from the path. */
function getNameFromPath(request: IncomingMessage): string {
  const url = (request as { originalUrl?: string }).originalUrl ?? request.url ?? "/";
  const name = url.split("?")[0]!.slice("/jobs/".length);
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}

function getPresentedKey(request: IncomingMessage): string | undefined {
  return request.headers.authorization?.replace(/^Bearer +/i, "");
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += chunk.length;
    if (length > MAXIMUM_SUBMISSION_BYTES) {
      throw new Error(`the body is larger than ${MAXIMUM_SUBMISSION_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function toResponse(response: unknown): ServerResponse {
  return response as ServerResponse;
}
