/** An adaptive request timeout: a multiple of the smoothed latency of recent responses. */

/** The minimum timeout, in milliseconds: many times the latency of a healthy platform. */
const MINIMUM_TIMEOUT_MILLISECONDS = 200;
/** The maximum timeout, in milliseconds, so that the platform's recovery is noticed soon. */
const MAXIMUM_TIMEOUT_MILLISECONDS = 1_600;
/** The timeout as a multiple of the smoothed latency. */
const LATENCY_MULTIPLIER = 4;
/** The factor by which each consecutive timeout lengthens the next one. */
const BACKOFF_FACTOR = 1.5;
/** The maximum factor by which consecutive timeouts lengthen the next one. */
const MAXIMUM_BACKOFF_FACTOR = 4;
/** The weight of the newest latency in the exponential moving average. */
const SMOOTHING_FACTOR = 0.5;

/**
 * Computes the timeout for one kind of request.
 *
 * A request whose response was lost should be retried soon, while a platform that has become slow
 * must not time out on every request. Each timeout therefore lengthens the next one, until a
 * response arrives and its latency enters the average.
 */
export class AdaptiveTimeout {
  /** In milliseconds. */
  #smoothedLatency = 0;
  #backoffFactor = 1;

  private constructor() {}

  /** Creates a timeout without any recorded latency. */
  static create(): AdaptiveTimeout {
    return new AdaptiveTimeout();
  }

  /** Gets the timeout of the next request, in milliseconds. */
  getMilliseconds(): number {
    const timeout = Math.max(
      MINIMUM_TIMEOUT_MILLISECONDS,
      this.#smoothedLatency * LATENCY_MULTIPLIER,
    );
    return Math.min(MAXIMUM_TIMEOUT_MILLISECONDS, Math.round(timeout * this.#backoffFactor));
  }

  /** Records the latency of a response, in milliseconds. */
  recordResponse(latency: number): void {
    this.#backoffFactor = 1;
    this.#smoothedLatency += (latency - this.#smoothedLatency) * SMOOTHING_FACTOR;
  }

  /** Records a request that got no response. */
  recordFailure(): void {
    this.#backoffFactor = Math.min(MAXIMUM_BACKOFF_FACTOR, this.#backoffFactor * BACKOFF_FACTOR);
  }
}
