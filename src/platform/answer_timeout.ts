/** How long an answer is waited for: a few times as long as answers take of late. */

/** The shortest time-out, in milliseconds: many times what the platform takes when it is well. */
const SHORTEST_MILLISECONDS = 200;
/** The longest time-out, in milliseconds, so that a platform that is back is noticed soon. */
const LONGEST_MILLISECONDS = 1_600;
/** How many times as long as usual an answer may take. */
const USUAL_FACTOR = 4;
/** How much longer the next answer is waited for after one that did not come. */
const SILENCE_FACTOR = 1.5;
/** The most that silences in a row lengthen the time-out. */
const MOST_SILENCE_FACTOR = 4;
/** How much a new answer counts against the earlier ones. */
const NEW_PART = 0.5;

/**
 * Learns a time-out for one kind of call.
 *
 * A lost answer should be asked for again soon, while a platform that has turned slow must not be
 * given up on each time: its next answer is waited for longer, and then the usual time has changed.
 */
export class AnswerTimeout {
  #usualMilliseconds = 0;
  #silenceFactor = 1;

  private constructor() {}

  /** Creates a time-out that has seen no answer. */
  static create(): AnswerTimeout {
    return new AnswerTimeout();
  }

  /** Gets how long the next answer may take, in milliseconds. */
  getMilliseconds(): number {
    const usual = Math.max(SHORTEST_MILLISECONDS, this.#usualMilliseconds * USUAL_FACTOR);
    return Math.min(LONGEST_MILLISECONDS, Math.round(usual * this.#silenceFactor));
  }

  /** Learns from an answer that took so long, in milliseconds. */
  addAnswer(milliseconds: number): void {
    this.#silenceFactor = 1;
    this.#usualMilliseconds += (milliseconds - this.#usualMilliseconds) * NEW_PART;
  }

  /** Learns that no answer came. */
  addSilence(): void {
    this.#silenceFactor = Math.min(MOST_SILENCE_FACTOR, this.#silenceFactor * SILENCE_FACTOR);
  }
}
