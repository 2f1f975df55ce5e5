/** Reads the response of a target to one request: either complete and matching, or a failure. */

import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { TargetAnswer } from "../requests/exchange.ts";
import { getEndToEndHeaders, REQUEST_ID_HEADER } from "./http_headers.ts";

/** A response that can't be passed on to the caller. */
export class ResponseError extends StepError {}

/** Options of a `ResponseReader`. */
export interface ResponseReaderOptions {
  /** The request ID, which the target echoes in its response. */
  requestId: string;
  method: string;
  /** Whether a response without the request ID is rejected. */
  requiresEcho: boolean;
  /** The maximum size of the response body, in bytes. */
  largestBytes: number;
  /** Called before the first byte of the request is written to the socket; false aborts it. */
  tryStart: () => boolean;
  /** Called with the complete response, and whether it echoed the request ID. */
  onResponse: (response: TargetAnswer, hasEchoed: boolean) => void;
  /** Called with the reason of a failure. */
  onFailure: (reason: string) => void;
}

/** The `undici` dispatch handler of one request. */
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

  static create(options: ResponseReaderOptions): ResponseReader {
    return new ResponseReader(options);
  }

  /** Runs before the first byte of the request is written to the socket. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#options.tryStart()) return;
    controller.abort(this.#createError("the request was already sent once"));
  }

  /** Checks the status and the headers of the response. */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    this.#status = status;
    this.#headers = headers;
    const violation = this.#findViolation(status, headers);
    if (violation !== undefined) controller.abort(this.#createError(violation));
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#length += chunk.length;
    if (this.#length > this.#options.largestBytes) {
      controller.abort(this.#createError("the response body is too large"));
      return;
    }
    this.#chunks.push(chunk);
  }

  /** Passes on the complete response. */
  onResponseEnd(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const body = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
    const headers = getEndToEndHeaders(this.#headers);
    const hasEchoed = this.#headers[REQUEST_ID_HEADER] !== undefined;
    this.#options.onResponse({ status: this.#status, headers, body }, hasEchoed);
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.onFailure(getErrorMessage(error));
  }

  /** Gets why the response can't be accepted as the response to this request, if so. */
  #findViolation(status: number, headers: IncomingHttpHeaders): string | undefined {
    const echoed = headers[REQUEST_ID_HEADER];
    if (echoed !== undefined && echoed !== this.#options.requestId) {
      return "the response has the ID of another request";
    }
    if (echoed === undefined && this.#options.requiresEcho) {
      return "the response has no request ID";
    }
    const hasNoBody = this.#options.method === "HEAD" || status === 204 || status === 304;
    const hasLength = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    return hasNoBody || hasLength
      ? undefined
      : "the response has neither content-length nor transfer-encoding";
  }

  #createError(message: string): ResponseError {
    return new ResponseError({ message, step: "read-answer", peer: this.#options.requestId });
  }
}
