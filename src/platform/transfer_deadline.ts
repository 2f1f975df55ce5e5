/** The time limit of an HTTP exchange, which is extended while bytes are transferred. */

/** The minimum rate of a transfer, in bytes per millisecond: several share the slowest link. */
const MINIMUM_BYTES_PER_MILLISECOND = 100;

/** Options of a `TransferDeadline`. */
export interface TransferDeadlineOptions {
  /** When the request is sent, in milliseconds. */
  sentAt: number;
  /** The size of the request's body, in bytes. */
  sentBytes: number;
  /** How long the server may hold the request before it responds, in milliseconds. */
  waitMilliseconds: number;
  /** How long nothing may arrive before the exchange times out, in milliseconds. */
  idleTimeoutMilliseconds: number;
}

/**
 * Computes when an exchange times out: when nothing has arrived for the idle timeout, or when bytes
 * are transferred more slowly than a minimum rate. A large body on a slow link gets more time.
 */
export class TransferDeadline {
  readonly #options: TransferDeadlineOptions;
  #receivedBytes = 0;
  #lastReceivedAt: number | undefined;

  private constructor(options: TransferDeadlineOptions) {
    this.#options = options;
  }

  /** Creates the deadline of an exchange that has received nothing. */
  static create(options: TransferDeadlineOptions): TransferDeadline {
    return new TransferDeadline(options);
  }

  /** Records received bytes of the response's body, or 0 for its headers. */
  recordReceived(bytes: number, now: number): void {
    this.#receivedBytes += bytes;
    this.#lastReceivedAt = now;
  }

  /** Gets the number of received bytes of the response's body. */
  getReceivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Gets the time when the exchange times out if nothing more arrives, in milliseconds. */
  getTime(): number {
    const { sentAt, sentBytes, waitMilliseconds, idleTimeoutMilliseconds } = this.#options;
    const transferredBytes = sentBytes + this.#receivedBytes;
    const slowest = sentAt + waitMilliseconds + idleTimeoutMilliseconds +
      transferredBytes / MINIMUM_BYTES_PER_MILLISECOND;
    if (this.#lastReceivedAt === undefined) return slowest;
    return Math.min(slowest, this.#lastReceivedAt + idleTimeoutMilliseconds);
  }
}
