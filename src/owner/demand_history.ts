/** Learns the bursts of all services, and tells what each service is expected to use. */

import { NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import { type Burst, BurstDetector, type DemandArrival, isSignificant } from "./burst_detector.ts";
import { getPatience, learn, type LearnedBurst } from "./learned_burst.ts";
import {
  type ForecastOutcomes,
  type LearnedGap,
  type Onset,
  OnsetForecast,
} from "./onset_forecast.ts";

/** The confidence from which hosts are moved ahead of a burst. */
const MINIMUM_CONFIDENCE = 0.4;
/** The time from an onset after which its rate must support the learned height, in milliseconds. */
const SUPPORT_DELAY_MILLISECONDS = 200;
/** The fraction of the learned rate that the current rate must support. */
const SUPPORT_FRACTION = 0.7;
/** The time over which the support is measured, in milliseconds. */
const SUPPORT_WINDOW_MILLISECONDS = 2_000;
/** The fraction of the learned rate below which no burst begins. */
const MINIMUM_ONSET_FRACTION = 0.1;
/** How long after its learned end a burst may last before it counts as longer, in milliseconds. */
const END_MILLISECONDS = 1_500;
/** How long after an owner's start the onset of a burst may have been missed, in milliseconds. */
const BLIND_MILLISECONDS = 1_500;

/** What is kept of a service for a later owner. */
export interface ServiceRecord {
  learned: LearnedBurst;
  /** The last onset, on the clock of the history. */
  onset: number;
  gaps: readonly LearnedGap[];
  /** The outcomes of the forecasts of all services. */
  outcomes: ForecastOutcomes;
}

/** A burst that is expected to begin soon. */
export interface ExpectedBurst extends Onset {
  service: string;
  learned: LearnedBurst;
}

/** What is known of the demand of a service now. */
export interface ServiceDemand {
  /** What the arrivals are heading for, and the height of a burst that has begun. */
  heading: Readonly<Resources>;
  /** Whether the height of the burst that is under way is known. */
  isHeightKnown: boolean;
  /** Whether a burst has reached its learned end, or has ended within its duration. */
  isAfterBurst: boolean;
}

const NO_DEMAND: ServiceDemand = {
  heading: NO_RESOURCES,
  isHeightKnown: false,
  isAfterBurst: false,
};

/** An event that changes what is expected. */
export type DemandEvent =
  | { kind: "began"; service: string; burst: Burst; expected: ExpectedBurst | undefined }
  | { kind: "ended"; service: string; burst: Burst; isLearned: boolean }
  | { kind: "refuted"; service: string; burst: Burst; upperRate: number; learned: LearnedBurst }
  | { kind: "foreseen"; service: string; expected: ExpectedBurst }
  | { kind: "missed"; service: string; expected: ExpectedBurst };

interface ServiceHistory {
  detector: BurstDetector;
  learned: LearnedBurst | undefined;
  /** The burst whose rate does not support the learned height. */
  refuted: Burst | undefined;
  /** The burst that is expected now, whatever the confidence. */
  expected: ExpectedBurst | undefined;
  /** The onset of the burst that is under way, or the last one. */
  onset: number;
  /** Whether the burst under way began before it could be seen whole. */
  isPartial: boolean;
  /** Whether the onset of the burst under way was seen or, if that was not possible, forecast. */
  isOnsetKnown: boolean;
  /** Whether the burst under way was expected, with whatever confidence. */
  isForecast: boolean;
  /** The burst whose onset counts for forecasts. */
  established: Burst | undefined;
}

/** Options of a `DemandHistory`. */
export interface DemandHistoryOptions {
  /** How long before a burst its hosts must be moved, in milliseconds. */
  leadMilliseconds: number;
  /** The time from which arrivals are known. */
  startedAt: number;
}

/** Remembers the demand of services. */
export class DemandHistory {
  readonly #options: DemandHistoryOptions;
  readonly #services = new Map<string, ServiceHistory>();
  readonly #onsets = OnsetForecast.create();
  #hasEarlierOwner = false;
  /** The newest restored onset; the outcomes are those of its record. */
  #restoredOnset = -Infinity;

  private constructor(options: DemandHistoryOptions) {
    this.#options = options;
  }

  /** Creates an empty history. */
  static create(options: DemandHistoryOptions): DemandHistory {
    return new DemandHistory(options);
  }

  /** Restores what an earlier owner learned of a service. */
  restore(service: string, { learned, onset, gaps, outcomes }: ServiceRecord): void {
    this.#hasEarlierOwner = true;
    this.#getService(service).learned = learned;
    this.#onsets.restore(service, gaps, onset);
    if (onset < this.#restoredOnset) return;
    this.#restoredOnset = onset;
    this.#onsets.outcomes.hits = outcomes.hits;
    this.#onsets.outcomes.misses = outcomes.misses;
  }

  /** Gets what a later owner needs to know of a service; undefined if nothing was learned. */
  getRecord(service: string): ServiceRecord | undefined {
    const learned = this.#services.get(service)?.learned;
    const onset = this.#onsets.getLastOnset(service);
    if (learned === undefined || onset === undefined) return undefined;
    const { outcomes } = this.#onsets;
    return { learned, onset, gaps: this.#onsets.getGaps(service), outcomes: { ...outcomes } };
  }

  /** Gets the outcomes of the forecasts; later ones weigh more. */
  getOutcomes(): Readonly<ForecastOutcomes> {
    return this.#onsets.outcomes;
  }

  /** Adds the arrival of a job, unless it has only long-running tasks. */
  add(service: string, arrival: DemandArrival): void {
    const { cpu, memory } = arrival.resourceMilliseconds;
    if (cpu === 0 && memory === 0) return;
    this.#getService(service).detector.add(arrival);
  }

  /** Removes the services that no longer exist. */
  retain(isKept: (service: string) => boolean): void {
    for (const service of this.#services.keys()) {
      if (isKept(service)) continue;
      this.#services.delete(service);
      this.#onsets.remove(service);
    }
  }

  /** Updates all services to a time, and returns what happened. */
  advance(now: number): DemandEvent[] {
    const events: DemandEvent[] = [];
    for (const [service, history] of this.#services) {
      const minimumRate = MINIMUM_ONSET_FRACTION * (history.learned?.jobRate ?? 0);
      const change = history.detector.advance(now, minimumRate);
      if (change?.kind === "began") events.push(this.#begin(service, history, change.burst, now));
      if (change?.kind === "ended") events.push(this.#end(service, history, change.burst));
      this.#establish(service, history, now);
      const refuted = this.#refute(service, history, now);
      if (refuted !== undefined) events.push(refuted);
    }
    for (const [service, history] of this.#services) {
      const event = this.#expect(service, history, now);
      if (event !== undefined) events.push(event);
    }
    return events;
  }

  /** Gets what is known of the demand of a service. */
  getDemand(service: string, now: number): ServiceDemand {
    const history = this.#services.get(service);
    if (history === undefined) return NO_DEMAND;
    const { detector, learned } = history;
    const heading = detector.getSupportedDemand(now);
    const burst = detector.getBurst();
    const duration = learned?.durationMilliseconds ?? Infinity;
    const age = now - history.onset;
    const isAsLearned = burst !== undefined && history.refuted !== burst;
    const isHeightKnown = isAsLearned && learned !== undefined && age < duration;
    if (isHeightKnown) raise(heading, learned.height);
    const isAtEnd = isAsLearned && age >= duration && age < duration + END_MILLISECONDS;
    const isAfterBurst = isAtEnd ||
      (burst === undefined && learned !== undefined && age < 2 * duration);
    return { heading, isHeightKnown, isAfterBurst };
  }

  /** Gets the burst of a service that is expected within a time, with enough confidence. */
  getExpected(
    service: string,
    now: number,
    withinMilliseconds: number,
  ): ExpectedBurst | undefined {
    const history = this.#services.get(service);
    if (history === undefined) return undefined;
    if (history.detector.getBurst() !== undefined) return undefined;
    const expected = history.expected ?? this.#forecast(service, history);
    if (expected === undefined || expected.confidence < MINIMUM_CONFIDENCE) return undefined;
    const isSoon = expected.at <= now + withinMilliseconds &&
      now <= expected.at + getPatience(expected.learned);
    return isSoon ? expected : undefined;
  }

  /** Gets how long before a burst its hosts must be moved, in milliseconds. */
  getLeadMilliseconds(): number {
    return this.#options.leadMilliseconds;
  }

  /** Counts the bursts that are under way. */
  countBursts(): number {
    return [...this.#services.values()].filter(({ detector }) => detector.getBurst()).length;
  }

  #getService(service: string): ServiceHistory {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const created: ServiceHistory = {
      detector: BurstDetector.create(this.#options.startedAt),
      learned: undefined,
      refuted: undefined,
      expected: undefined,
      onset: -Infinity,
      isPartial: false,
      isOnsetKnown: false,
      isForecast: false,
      established: undefined,
    };
    this.#services.set(service, created);
    return created;
  }

  #begin(service: string, history: ServiceHistory, burst: Burst, now: number): DemandEvent {
    const { expected } = history;
    history.expected = undefined;
    history.isPartial = this.#isBlind(burst.onset);
    history.onset = burst.onset;
    const forecast = expected ?? this.#forecast(service, history);
    const isLate = history.isPartial && forecast !== undefined && isUnderWay(forecast, now);
    if (isLate) history.onset = Math.min(burst.onset, forecast.at);
    history.isOnsetKnown = isLate || !history.isPartial;
    // A burst that rises anew replaces the one that was under way.
    if (history.established?.end === undefined && history.established !== undefined) {
      this.#onsets.withdrawOnset(service);
    }
    history.established = undefined;
    history.isForecast = expected !== undefined;
    return { kind: "began", service, burst, expected };
  }

  /** Counts the onset of the burst that is under way once it has had enough jobs. */
  #establish(service: string, history: ServiceHistory, now: number): void {
    const burst = history.detector.getBurst();
    if (burst === undefined || history.established === burst || !isSignificant(burst, now)) return;
    if (!history.isOnsetKnown) return;
    history.established = burst;
    this.#onsets.addOnset(service, history.onset);
    if (history.isForecast) this.#onsets.addHit();
  }

  #end(service: string, history: ServiceHistory, burst: Burst): DemandEvent {
    const isLearned = !history.isPartial && history.established === burst;
    if (isLearned) {
      history.learned = learn(history.learned, burst);
      this.#onsets.confirmOnset(service);
    }
    return { kind: "ended", service, burst, isLearned };
  }

  /** Drops the learned height for a burst whose rate does not support it. */
  #refute(service: string, history: ServiceHistory, now: number): DemandEvent | undefined {
    const { detector, learned } = history;
    const burst = detector.getBurst();
    if (burst === undefined || learned === undefined || history.refuted === burst) return undefined;
    const since = Math.max(burst.onset, now - SUPPORT_WINDOW_MILLISECONDS);
    if (now - since < SUPPORT_DELAY_MILLISECONDS) return undefined;
    const { upper } = detector.getRateBounds(since, now);
    if (upper >= SUPPORT_FRACTION * learned.jobRate) return undefined;
    history.refuted = burst;
    return { kind: "refuted", service, burst, upperRate: upper, learned };
  }

  /** Begins or ends the expectation of a burst. */
  #expect(service: string, history: ServiceHistory, now: number): DemandEvent | undefined {
    if (history.detector.getBurst() !== undefined) return undefined;
    const { expected } = history;
    if (expected === undefined) {
      const forecast = this.#forecast(service, history);
      if (forecast === undefined || now < forecast.at - this.#options.leadMilliseconds) {
        return undefined;
      }
      if (now > forecast.at + getPatience(forecast.learned)) {
        // The burst may be under way and not be detected yet.
        if (this.#isBlind(now)) return undefined;
        this.#onsets.skip(service, forecast);
        return undefined;
      }
      history.expected = forecast;
      if (forecast.confidence < MINIMUM_CONFIDENCE) return undefined;
      return { kind: "foreseen", service, expected: forecast };
    }
    if (now <= expected.at + getPatience(expected.learned)) return undefined;
    history.expected = undefined;
    this.#onsets.addMiss(service, expected);
    if (expected.confidence < MINIMUM_CONFIDENCE) return undefined;
    return { kind: "missed", service, expected };
  }

  /** Gets whether a burst whose first jobs were seen at a time may have begun before the owner. */
  #isBlind(time: number): boolean {
    return this.#hasEarlierOwner && time - this.#options.startedAt < BLIND_MILLISECONDS;
  }

  #forecast(service: string, history: ServiceHistory): ExpectedBurst | undefined {
    const { learned } = history;
    if (learned === undefined) return undefined;
    const onset = this.#onsets.forecast(service, this.#services.size);
    return onset === undefined ? undefined : { ...onset, service, learned };
  }
}

/** Gets whether a burst that was forecast would be under way at a time. */
function isUnderWay({ at, learned }: ExpectedBurst, now: number): boolean {
  return at <= now && now < at + learned.durationMilliseconds;
}

/** Raises each amount to another where that is larger, in place. */
function raise(amounts: Resources, other: Readonly<Resources>): void {
  amounts.cpu = Math.max(amounts.cpu, other.cpu);
  amounts.memory = Math.max(amounts.memory, other.memory);
  amounts.accelerators = Math.max(amounts.accelerators, other.accelerators);
}
