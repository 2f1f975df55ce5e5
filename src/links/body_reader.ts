/** Reads request bodies within limits of size, time and total memory. */

import type { IncomingMessage } from "node:http";
import { BodyBuffer, type BodyMemory } from "./body_buffer.ts";

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
  | { outcome: "read"; body: Buffer; reservedBytes: number }
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
  /**
   * The memory that is reserved; the caller releases `reservedBytes` of a body with the outcome
   * `read`.
   */
  budget: BodyMemory;
  /**
   * Gets whether this process has received bytes of the connection that it has not read yet; the
   * time limit then does not apply, up to a multiple of it. Never by default.
   */
  isBehind?: () => boolean;
  /** Called once, with the result. */
  onResult: (result: BodyResult) => void;
}

/** How often a body is looked at again that this process is behind with, in milliseconds. */
const BEHIND_CHECK_MILLISECONDS = 250;
/** The maximum time for a body that this process is behind with, as a multiple of the time limit. */
const MAXIMUM_BEHIND_FACTOR = 4;

/**
 * Reads the body of a request, and reports the result as soon as it is known. The function that it
 * returns drops a body that is not read to its end: the request may not report that it was closed
 * once it is answered.
 */
export function readBody(options: ReadBodyOptions): () => void {
  const { request, limits, budget } = options;
  const declared = Number(request.headers["content-length"] ?? 0);
  const hasBody = declared > 0 || request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    request.resume();
    options.onResult({ outcome: "read", body: Buffer.alloc(0), reservedBytes: 0 });
    return () => {};
  }
  // A declared length bounds the buffer, which otherwise doubles.
  const largestBytes = declared > 0 ? Math.min(declared, limits.largestBytes) : limits.largestBytes;
  const buffer = BodyBuffer.create(budget, largestBytes);
  const startedAt = performance.now();
  let length = 0;
  let isDone = false;
  const finish = (result: BodyResult) => {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    if (result.outcome !== "read") buffer.clear();
    options.onResult(result);
  };
  const checkTime = () => {
    const elapsed = performance.now() - startedAt;
    const isBehind = options.isBehind?.() === true &&
      elapsed < MAXIMUM_BEHIND_FACTOR * limits.timeoutMilliseconds;
    if (!isBehind) return finish({ outcome: "too-slow" });
    timer = setTimeout(checkTime, BEHIND_CHECK_MILLISECONDS);
  };
  let timer = setTimeout(checkTime, limits.timeoutMilliseconds);
  request.on("data", (chunk: Buffer) => {
    if (isDone) return;
    length += chunk.length;
    if (length > limits.largestBytes) {
      buffer.clear();
      if (length > limits.largestBytes + limits.mostDiscardedBytes) {
        finish({ outcome: "too-large" });
      }
      return;
    }
    if (!buffer.add(chunk)) finish({ outcome: "no-memory" });
  });
  request.on("end", () => {
    if (length > limits.largestBytes) return finish({ outcome: "too-large" });
    finish({ outcome: "read", body: buffer.getBytes(), reservedBytes: buffer.getCapacity() });
  });
  const drop = () => finish({ outcome: "closed" });
  request.on("close", drop);
  return drop;
}
