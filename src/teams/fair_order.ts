/** Orders teams by start-time fair queueing, with run time as the cost and shares as weights. */

/** The charge for a start without an estimate of its run time. */
const UNKNOWN_RUN_MILLISECONDS = 10;

interface TeamTag {
  tag: number;
  weight: number;
}

/** Keeps the start tag of each team of one pool; the team with the lowest tag goes first. */
export class FairOrder {
  readonly #tags = new Map<string, TeamTag>();
  #virtualTime = 0;

  private constructor() {}

  /** Creates an order in which no team has been charged. */
  static create(): FairOrder {
    return new FairOrder();
  }

  /** Sets the weight of a team; a team that was idle gets no credit for the idle time. */
  setWeight(team: string, weight: number, isIdle: boolean): void {
    const known = this.#tags.get(team);
    if (known === undefined) {
      this.#tags.set(team, { tag: this.#virtualTime, weight });
      return;
    }
    known.weight = weight;
    if (isIdle) known.tag = Math.max(known.tag, this.#virtualTime);
  }

  /** Gets the start tag of a team: its charged run time divided by its weight. */
  getTag(team: string): number {
    return this.#tags.get(team)?.tag ?? this.#virtualTime;
  }

  /** Charges a team for a start with the expected run time, and gets the charge. */
  charge(team: string, expectedMilliseconds: number): number {
    const charged = expectedMilliseconds > 0 ? expectedMilliseconds : UNKNOWN_RUN_MILLISECONDS;
    const entry = this.#tags.get(team);
    if (entry === undefined) return charged;
    this.#virtualTime = Math.max(this.#virtualTime, entry.tag);
    entry.tag += charged / entry.weight;
    return charged;
  }

  /** Replaces a charge with the measured run time. */
  correct(team: string, charged: number, milliseconds: number): void {
    const entry = this.#tags.get(team);
    if (entry !== undefined) entry.tag += (milliseconds - charged) / entry.weight;
  }
}
