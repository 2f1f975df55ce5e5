/** Reads request bodies within limits of size, time and total memory. */

import type { IncomingMessage } from "node:http";

/** Limits of one request body. */
export interface BodyLimits {
  /** The maximum size of a body, in bytes. */
  largestBytes: number;
  /**
   * The bytes read and discarded after the limit, so that the client can read the error response.
   */
  mostDiscardedBytes: number;
  /** The maximum time until the last byte. */
  timeoutMilliseconds: number;
}

/** The outcome of reading a body. */
export type BodyResult =
  | { outcome: "read"; body: Buffer }
  | { outcome: "too-large" }
  | { outcome: "too-slow" }
  | { outcome: "no-memory" }
  | { outcome: "closed" };

/** The memory that all bodies of a listener may use together. */
export class BodyMemoryBudget {
  #free: number;

  private constructor(bytes: number) {
    this.#free = bytes;
  }

  static create(bytes: number): BodyMemoryBudget {
    return new BodyMemoryBudget(bytes);
  }

  /** Reserves memory; returns false if there is not enough. */
  reserve(bytes: number): boolean {
    if (bytes > this.#free) return false;
    this.#free -= bytes;
    return true;
  }

  /** Releases reserved memory. */
  release(bytes: number): void {
    this.#free += bytes;
  }
}

/** Options of `readBody`. */
export interface ReadBodyOptions {
  request: IncomingMessage;
  limits: BodyLimits;
  /** The memory budget; the caller releases the memory of a body with the outcome `read`. */
  budget: BodyMemoryBudget;
  /** Called once, with the result. */
  onResult: (result: BodyResult) => void;
}

/** Reads the body of a request, and reports the result as soon as it is known. */
export function readBody(options: ReadBodyOptions): void {
  const { request, limits, budget } = options;
  const declared = Number(request.headers["content-length"] ?? 0);
  const hasBody = declared > 0 || request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    request.resume();
    return options.onResult({ outcome: "read", body: Buffer.alloc(0) });
  }
  const chunks: Buffer[] = [];
  let length = 0;
  let reservedBytes = 0;
  let isDone = false;
  const finish = (result: BodyResult) => {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    if (result.outcome !== "read") budget.release(reservedBytes);
    options.onResult(result);
  };
  const timer = setTimeout(() => finish({ outcome: "too-slow" }), limits.timeoutMilliseconds);
  request.on("data", (chunk: Buffer) => {
    if (isDone) return;
    length += chunk.length;
    if (length > limits.largestBytes) {
      chunks.length = 0;
      if (length > limits.largestBytes + limits.mostDiscardedBytes) {
        finish({ outcome: "too-large" });
      }
      return;
    }
    if (!budget.reserve(chunk.length)) return finish({ outcome: "no-memory" });
    reservedBytes += chunk.length;
    chunks.push(chunk);
  });
  request.on("end", () => {
    if (length > limits.largestBytes) return finish({ outcome: "too-large" });
    finish({ outcome: "read", body: Buffer.concat(chunks) });
  });
  request.on("close", () => finish({ outcome: "closed" }));
}
