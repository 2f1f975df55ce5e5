/** Reads one answer of a target: it is whole and belongs to its request, or it is a failure. */

import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { TargetAnswer } from "../requests/exchange.ts";
import { getEndToEndHeaders, REQUEST_ID_HEADER } from "./http_headers.ts";

/** An answer that can't be handed to the caller. */
export class ResponseError extends StepError {}

/** Options of an `AnswerReader`. */
export interface ResponseReaderOptions {
  /** The id of the request. */
  requestId: string;
  /** The method of the request. */
  method: string;
  /** Whether the answer must echo the id. */
  requiresEcho: boolean;
  /** The largest body, in bytes. */
  largestBytes: number;
  /** Called before the first byte of the request goes to the socket; false stops it. */
  tryStart: () => boolean;
  /** Takes the whole answer, and whether it named its request. */
  onResponse: (answer: TargetAnswer, hasEchoed: boolean) => void;
  /** Takes the reason of a failure. */
  onFailure: (reason: string) => void;
}

/** The handler of one request on an `undici` client. */
export class ResponseReader implements Dispatcher.DispatchHandler {
  readonly #options: ResponseReaderOptions;
  readonly #chunks: Buffer[] = [];
  #length = 0;
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  #hasEnded = false;

  private constructor(options: ResponseReaderOptions) {
    this.#options = options;
  }

  /** Creates the reader. */
  static create(options: ResponseReaderOptions): ResponseReader {
    return new ResponseReader(options);
  }

  /** Runs before the first byte of the request goes to the socket. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#options.tryStart()) return;
    controller.abort(this.#createError("the request was already sent once"));
  }

  /** Checks the head of the answer. */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    this.#status = status;
    this.#headers = headers;
    const fault = this.#findFault(status, headers);
    if (fault !== undefined) controller.abort(this.#createError(fault));
  }

  /** Keeps a part of the body. */
  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#length += chunk.length;
    if (this.#length > this.#options.largestBytes) {
      controller.abort(this.#createError("the answer is too large"));
      return;
    }
    this.#chunks.push(chunk);
  }

  /** Hands over the whole answer. */
  onResponseEnd(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const body = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
    const headers = getEndToEndHeaders(this.#headers);
    const hasEchoed = this.#headers[REQUEST_ID_HEADER] !== undefined;
    this.#options.onResponse({ status: this.#status, headers, body }, hasEchoed);
  }

  /** Tells of a failure. */
  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.onFailure(getErrorMessage(error));
  }

  /** Gets why the answer can't be the whole answer to this request, if so. */
  #findFault(status: number, headers: IncomingHttpHeaders): string | undefined {
    const echoed = headers[REQUEST_ID_HEADER];
    if (echoed !== undefined && echoed !== this.#options.requestId) {
      return "the target answered another request";
    }
    if (echoed === undefined && this.#options.requiresEcho) {
      return "the target did not say which request it answered";
    }
    const hasNoBody = this.#options.method === "HEAD" || status === 204 || status === 304;
    const hasLength = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    return hasNoBody || hasLength ? undefined : "the answer has no length by which to tell its end";
  }

  #createError(message: string): ResponseError {
    return new ResponseError({ message, step: "read-answer", peer: this.#options.requestId });
  }
}
