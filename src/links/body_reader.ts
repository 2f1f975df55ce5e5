/** Reads the bodies of requests within bounds of size, time and memory. */

import type { IncomingMessage } from "node:http";

/** Bounds for one body. */
export interface BodyLimits {
  /** The largest body. */
  largestBytes: number;
  /** The bytes of an oversized body that are read and dropped, so that its sender sees the refusal. */
  mostDiscardedBytes: number;
  /** The longest time to the last byte. */
  timeoutMilliseconds: number;
}

/** What became of a body. */
export type BodyResult =
  | { outcome: "read"; body: Buffer }
  | { outcome: "too-large" }
  | { outcome: "too-slow" }
  | { outcome: "no-memory" }
  | { outcome: "closed" };

/** The memory that all bodies of a listener may take together. */
export class BodyMemoryBudget {
  #free: number;

  private constructor(bytes: number) {
    this.#free = bytes;
  }

  /** Creates a budget. */
  static create(bytes: number): BodyMemoryBudget {
    return new BodyMemoryBudget(bytes);
  }

  /** Takes memory, and returns false if there is not enough. */
  reserve(bytes: number): boolean {
    if (bytes > this.#free) return false;
    this.#free -= bytes;
    return true;
  }

  /** Gives memory back. */
  release(bytes: number): void {
    this.#free += bytes;
  }
}

/** Options of `readBody`. */
export interface ReadBodyOptions {
  /** The request. */
  request: IncomingMessage;
  /** The bounds. */
  limits: BodyLimits;
  /** The memory; what a body that was read takes is given back by its reader. */
  budget: BodyMemoryBudget;
  /** Takes the result, once. */
  onResult: (result: BodyResult) => void;
}

/** Reads the body of a request; the result comes as soon as it is known. */
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
  let taken = 0;
  let isDone = false;
  const finish = (result: BodyResult) => {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    if (result.outcome !== "read") budget.release(taken);
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
    taken += chunk.length;
    chunks.push(chunk);
  });
  request.on("end", () => {
    if (length > limits.largestBytes) return finish({ outcome: "too-large" });
    finish({ outcome: "read", body: Buffer.concat(chunks) });
  });
  request.on("close", () => finish({ outcome: "closed" }));
}
