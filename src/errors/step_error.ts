/** The base class of all errors of the system. */

/** Options of a `StepError`. */
export interface StepErrorOptions {
  /** The error message, in one sentence. */
  message: string;
  /** The step that failed, such as `append` or `decode-frame`. */
  step: string;
  /** The peer involved, as an address or a name; `local` if there is none. */
  peer: string;
  /** The error that caused this one. */
  cause?: unknown;
}

/** An error that carries the failed step and the peer involved. */
export class StepError extends Error {
  /** The step that failed. */
  readonly step: string;
  /** The peer involved, or `local`. */
  readonly peer: string;

  constructor(options: StepErrorOptions) {
    super(options.message, options.cause === undefined ? {} : { cause: options.cause });
    this.name = new.target.name;
    this.step = options.step;
    this.peer = options.peer;
  }
}

/** Gets the message of a thrown value, which need not be an `Error`. */
export function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
