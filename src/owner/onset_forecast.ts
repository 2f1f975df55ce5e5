/** Forecasts the onsets of bursts from the gaps between earlier ones, of one service or of two. */

/** The score of a gap that was seen once. */
const FIRST_SCORE = 0.5;
/** By how much the score of a gap rises when a burst begins as it lets expect. */
const HIT_GAIN = 0.5;
/** The factor by which the score of a gap falls when a burst does not begin as it lets expect. */
const MISS_FACTOR = 0.5;
/** The minimum score, from which a gap that is seen again regains its place. */
const MINIMUM_SCORE = 0.1;
/** The maximum gap between two bursts that are set in relation, in milliseconds. */
const MAXIMUM_GAP_MILLISECONDS = 120_000;
/** The tolerance of a gap, as a fraction of it, and its bounds in milliseconds. */
const TOLERANCE_FRACTION = 0.1;
const MINIMUM_TOLERANCE_MILLISECONDS = 500;
const MAXIMUM_TOLERANCE_MILLISECONDS = 1_500;
/** How many gaps in a row may pass without a burst before the onset is no longer expected. */
const MAXIMUM_PASSED_GAPS = 2;
/** The weight of a new gap in the average. */
const GAP_WEIGHT = 0.5;
/** The maximum number of services before a service that are remembered. */
const MAXIMUM_PREDECESSORS = 8;
/** The factor by which an outcome of a forecast loses weight with each later one. */
const OUTCOME_RETENTION = 0.8;
/** The bounds of the trust in all forecasts. */
const MINIMUM_TRUST = 0.2;
const MAXIMUM_TRUST = 2;
/** The maximum number of onsets that are remembered. */
const MAXIMUM_RECENT_ONSETS = 64;
/** The number of services that must have followed each other for their round to be expected anew. */
const MINIMUM_ROUND_SERVICES = 3;

/** A gap between the onsets of two bursts, the first of which may be of the same service. */
export interface LearnedGap {
  /** The service whose burst began first. */
  from: string;
  /** The gap, in milliseconds. */
  milliseconds: number;
  /** How reliably it recurs, from 0 to 1. */
  score: number;
}

/** A forecast of an onset. */
export interface Onset {
  /** When the burst is expected to begin, on the monotonic clock. */
  at: number;
  /** The confidence, from 0 to 1. */
  confidence: number;
  /** The services whose last bursts led to the forecast. */
  from: readonly string[];
  /** Whether it closes a round of services, none of which has had a second burst. */
  isGuess: boolean;
}

/** The outcomes of earlier forecasts of all services; later ones weigh more. */
export interface ForecastOutcomes {
  hits: number;
  misses: number;
}

/** Learns when bursts begin. */
export class OnsetForecast {
  readonly outcomes: ForecastOutcomes = { hits: 0, misses: 0 };
  /** The gaps before the onsets of a service, by service and by the service before. */
  readonly #gaps = new Map<string, Map<string, LearnedGap>>();
  /** The last onset of each service, on the monotonic clock. */
  readonly #onsets = new Map<string, number>();
  /** How many of the gaps after the last onset before have passed without a burst, by gap. */
  readonly #passed = new Map<LearnedGap, { onset: number; count: number }>();
  /** The services of which it was guessed in vain that a round begins anew with them. */
  readonly #refutedGuesses = new Set<string>();
  /** The recent onsets of all services, in the order of their detection. */
  readonly #recent: { service: string; at: number }[] = [];

  private constructor() {}

  /** Creates a forecast that has seen no bursts. */
  static create(): OnsetForecast {
    return new OnsetForecast();
  }

  /** Restores what an earlier owner learned of a service. */
  restore(service: string, gaps: readonly LearnedGap[], onset: number): void {
    this.#gaps.set(service, new Map(gaps.map((gap) => [gap.from, { ...gap }])));
    this.addOnset(service, onset);
  }

  /** Forgets a service. */
  remove(service: string): void {
    this.#gaps.delete(service);
    this.#onsets.delete(service);
    this.#refutedGuesses.delete(service);
  }

  /** Gets the gaps before the onsets of a service. */
  getGaps(service: string): readonly LearnedGap[] {
    return [...this.#gaps.get(service)?.values() ?? []];
  }

  /** Gets the last onset of a service, on the monotonic clock. */
  getLastOnset(service: string): number | undefined {
    return this.#onsets.get(service);
  }

  /** Adds an onset, which is confirmed or withdrawn once the burst has ended. */
  addOnset(service: string, at: number): void {
    this.#recent.push({ service, at });
    if (this.#recent.length > MAXIMUM_RECENT_ONSETS) this.#recent.shift();
    this.#onsets.set(service, at);
  }

  /** Learns the gaps before the last onset of a service: from its own one before, and from another's. */
  confirmOnset(service: string): void {
    const at = this.#onsets.get(service)!;
    const earlier = this.#recent.filter((onset) => onset.at < at);
    earlier.sort((first, second) => second.at - first.at);
    const own = earlier.find((onset) => onset.service === service);
    const previous = earlier.find((onset) => onset.service !== service);
    for (const onset of [own, previous]) {
      if (onset !== undefined) this.#learnGap(service, onset.service, at - onset.at);
    }
  }

  /** Withdraws the last onset of a service: it began no burst. */
  withdrawOnset(service: string): void {
    const index = this.#recent.findLastIndex((onset) => onset.service === service);
    if (index >= 0) this.#recent.splice(index, 1);
    const previous = this.#recent.findLast((onset) => onset.service === service);
    if (previous === undefined) this.#onsets.delete(service);
    else this.#onsets.set(service, previous.at);
  }

  /**
   * Forecasts the next onset of a service, with the gaps that agree with the best one. The number of
   * services tells when each of them has had a burst.
   */
  forecast(service: string, serviceCount: number): Onset | undefined {
    const candidates = this.#getCandidates(service);
    const [best] = candidates;
    if (best === undefined) return this.#guessNextRound(service, serviceCount);
    const tolerance = getTolerance(best.gap.milliseconds);
    const agreeing = candidates.filter(({ at }) => Math.abs(at - best.at) <= tolerance);
    const score = agreeing.reduce((sum, { gap }) => sum + gap.score, 0);
    const at = agreeing.reduce((sum, { at, gap }) => sum + at * gap.score, 0) / score;
    return {
      at,
      confidence: Math.min(1, Math.min(1, score) * this.#getTrust()),
      from: agreeing.map(({ gap }) => gap.from),
      isGuess: false,
    };
  }

  /** Counts a burst that began as forecast. */
  addHit(): void {
    this.#addOutcome(1, 0);
  }

  /** Counts a burst that did not begin as forecast, and lowers the scores that led to it. */
  addMiss(service: string, { from, isGuess }: Onset): void {
    if (isGuess) {
      this.#refutedGuesses.add(service);
      return;
    }
    this.#addOutcome(0, 1);
    for (const gap of this.#getGapsFrom(service, from)) {
      gap.score = Math.max(MINIMUM_SCORE, gap.score * MISS_FACTOR);
    }
    this.skip(service, { from, isGuess });
  }

  /** Passes over a forecast of which it is not known whether it was right. */
  skip(service: string, { from, isGuess }: Omit<Onset, "at" | "confidence">): void {
    if (isGuess) this.#refutedGuesses.add(service);
    for (const gap of this.#getGapsFrom(service, from)) {
      const onset = this.#onsets.get(gap.from);
      if (onset === undefined) continue;
      const passed = this.#passed.get(gap);
      const count = passed?.onset === onset ? passed.count + 1 : 1;
      this.#passed.set(gap, { onset, count });
    }
  }

  #getGapsFrom(service: string, from: readonly string[]): LearnedGap[] {
    return from.flatMap((other) => this.#gaps.get(service)?.get(other) ?? []);
  }

  #addOutcome(hits: number, misses: number): void {
    this.outcomes.hits = this.outcomes.hits * OUTCOME_RETENTION + hits;
    this.outcomes.misses = this.outcomes.misses * OUTCOME_RETENTION + misses;
  }

  /** Gets the factor by which the outcomes of earlier forecasts raise or lower the confidence. */
  #getTrust(): number {
    const { hits, misses } = this.outcomes;
    return Math.min(MAXIMUM_TRUST, Math.max(MINIMUM_TRUST, (2 + hits) / (2 + 3 * misses)));
  }

  /** Gets the expected onsets of a service by its gaps, the most reliable first. */
  #getCandidates(service: string): { gap: LearnedGap; at: number }[] {
    const lastOnset = this.#onsets.get(service) ?? -Infinity;
    const candidates: { gap: LearnedGap; at: number }[] = [];
    for (const gap of this.#gaps.get(service)?.values() ?? []) {
      const onset = this.#onsets.get(gap.from);
      const isOpen = onset !== undefined && (gap.from === service || onset > lastOnset);
      if (!isOpen) continue;
      const passed = this.#passed.get(gap);
      const count = passed?.onset === onset ? passed.count : 0;
      // A burst that stays away once may come a period later; one service follows another only once.
      const maximum = gap.from === service ? MAXIMUM_PASSED_GAPS : 0;
      if (count <= maximum) candidates.push({ gap, at: onset + gap.milliseconds * (count + 1) });
    }
    return candidates.sort((first, second) => second.gap.score - first.gap.score);
  }

  /**
   * Guesses that services which followed each other at equal gaps begin anew with the first one.
   * Without it, the first burst of the second round would find its hosts elsewhere.
   */
  #guessNextRound(service: string, serviceCount: number): Onset | undefined {
    if (this.#gaps.has(service) || this.#refutedGuesses.has(service)) return undefined;
    const round = [...this.#onsets].sort(([, first], [, second]) => first - second);
    const first = round[0];
    const last = round.at(-1);
    if (round.length < Math.max(MINIMUM_ROUND_SERVICES, serviceCount)) return undefined;
    if (first?.[0] !== service) return undefined;
    const mean = (last![1] - first[1]) / (round.length - 1);
    const areEqual = round.every(([, onset], number) =>
      Math.abs(onset - first[1] - number * mean) <= getTolerance(mean)
    );
    if (!areEqual) return undefined;
    return { at: last![1] + mean, confidence: FIRST_SCORE, from: [last![0]], isGuess: true };
  }

  #learnGap(service: string, from: string, observed: number): void {
    if (observed > MAXIMUM_GAP_MILLISECONDS) return;
    const gaps = this.#gaps.get(service) ?? new Map<string, LearnedGap>();
    this.#gaps.set(service, gaps);
    const gap = gaps.get(from);
    if (gap === undefined) {
      if (gaps.size >= MAXIMUM_PREDECESSORS) removeLeastReliable(gaps);
      gaps.set(from, { from, milliseconds: observed, score: FIRST_SCORE });
      return;
    }
    const periods = from === service ? Math.max(1, Math.round(observed / gap.milliseconds)) : 1;
    const perPeriod = observed / periods;
    const isHit = periods <= MAXIMUM_PASSED_GAPS + 1 &&
      Math.abs(perPeriod - gap.milliseconds) <= getTolerance(gap.milliseconds);
    if (isHit) {
      gap.milliseconds += (perPeriod - gap.milliseconds) * GAP_WEIGHT;
      gap.score = Math.min(1, gap.score + HIT_GAIN);
      return;
    }
    gap.milliseconds = observed;
    gap.score = Math.max(MINIMUM_SCORE, Math.min(gap.score, FIRST_SCORE) * MISS_FACTOR);
  }
}

/** Gets by how much an onset may differ from the forecast that a gap leads to, in milliseconds. */
export function getTolerance(gapMilliseconds: number): number {
  return Math.min(
    MAXIMUM_TOLERANCE_MILLISECONDS,
    Math.max(MINIMUM_TOLERANCE_MILLISECONDS, gapMilliseconds * TOLERANCE_FRACTION),
  );
}

function removeLeastReliable(gaps: Map<string, LearnedGap>): void {
  const [least] = [...gaps.values()].sort((first, second) => first.score - second.score);
  if (least !== undefined) gaps.delete(least.from);
}
