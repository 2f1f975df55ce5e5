/** Waves of maintenance: empties hosts a few at a time, and has their provider maintain them. */

import type { Executor } from "../fleet/executor.ts";
import { HostOrderOutcome } from "../fleet/host.ts";
import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";
import type { FleetState } from "./fleet_state.ts";
import type { HostControl } from "./host_control.ts";
import { ORDER_RECORD_MILLISECONDS } from "./host_order_records.ts";
import type { MaintainOrder } from "./owner_ports.ts";
import { hasTurn, type WavePlace, type WaveProgress, WaveStage } from "./wave_progress.ts";
import {
  createWaveEntry,
  type EarlierWave,
  getFirstStage,
  isCompletedBy,
  NO_EARLIER_WAVE,
  readStoredWaves,
} from "./wave_records.ts";

/** How long a host may take beyond its maintenance before it counts as back anyway, in milliseconds. */
const OVERDUE_MILLISECONDS = 4_000;
/**
 * How many lists in a row have to lack a host before it counts as gone: a list is read page by page
 * while hosts change their places, so that one reading may miss a host that stays.
 */
const ABSENT_LISTS = 3;
/** The pause before an order that failed is repeated, in milliseconds. */
const RETRY_MILLISECONDS = 300;
/**
 * The first and the longest pause before a host is ordered again that the provider knows of no such
 * wave for, in milliseconds: it may learn of a wave later than the owner, as from an old reading of
 * the store, and a host is emptied for each order.
 */
const FIRST_REFUSAL_MILLISECONDS = 1_000;
const LONGEST_REFUSAL_MILLISECONDS = 16_000;
/** How long the short tasks of a host may take to end before they are stopped, in milliseconds. */
const PATIENCE_MILLISECONDS = 3_000;
/** The part of a wave's time that is planned with. */
const PLANNED_PART = 0.7;

/** Options of a `Maintenance`. */
export interface MaintenanceOptions {
  /** The state. */
  state: FleetState;
  /** The decisions about hosts. */
  hosts: HostControl;
  /** Ends an executor whose host has been taken away. */
  endExecutor: (executor: Executor, reason: string) => void;
  /** How long a host is away, in milliseconds. */
  awayMilliseconds: number;
  /** What earlier owners stored of waves. */
  stored: Iterable<readonly [string, Uint8Array]>;
}

/** The decisions about waves. */
export class Maintenance {
  readonly #options: MaintenanceOptions;
  readonly #waves = new Map<number, WaveProgress>();
  readonly #before: ReadonlyMap<number, EarlierWave>;

  private constructor(options: MaintenanceOptions) {
    this.#options = options;
    this.#before = readStoredWaves(options.stored);
  }

  /** Creates the decisions from what earlier owners stored. */
  static create(options: MaintenanceOptions): Maintenance {
    return new Maintenance(options);
  }

  /** Sets the waves that operators ask for; the newest record of a wave counts. */
  setWaves(waves: ReadonlyMap<number, MaintenanceWave>): void {
    for (const [number, wave] of waves) {
      const progress = this.#waves.get(number);
      if (progress === undefined) this.#addWave(wave);
      else if (progress.wave !== wave) this.#changeWave(progress, wave);
    }
  }

  /** Gets whether a wave is not completed. */
  isActive(): boolean {
    for (const progress of this.#waves.values()) if (!progress.isCompleted) return true;
    return false;
  }

  /** Gets whether a host still has maintenance before it. */
  isDue(host: string): boolean {
    for (const { places } of this.#waves.values()) {
      const place = places.get(host);
      if (place !== undefined && place.stage !== WaveStage.Done) return true;
    }
    return false;
  }

  /** Takes the next steps. */
  tick(): void {
    const { state, hosts } = this.#options;
    if (!state.mayStart || hosts.getListedAt() < state.startedAt) return;
    for (const progress of this.#waves.values()) {
      if (hosts.getListedAt() > progress.listsSince) this.#readList(progress);
      if (!progress.isCompleted) this.#advance(progress);
    }
  }

  /** Acts on the answer to an order. */
  handleAnswer(order: MaintainOrder, outcome: HostOrderOutcome): void {
    const { state, hosts } = this.#options;
    const progress = this.#waves.get(order.wave);
    const place = progress?.places.get(order.host);
    if (progress === undefined || place?.stage !== WaveStage.Ordered) return;
    state.log("maintenance-answered", { host: order.host, wave: order.wave, outcome });
    switch (outcome) {
      case HostOrderOutcome.Done:
        this.#endExecutor(place);
        return this.#setStage(place, WaveStage.Away);
      case HostOrderOutcome.Impossible:
        // That is no maintenance. Whether the host has gone is told by the lists.
        this.#setStage(place, WaveStage.Waiting);
        place.retryAt = state.now + getRefusalPause(place.refusals);
        place.refusals += 1;
        if (!progress.wave.hosts.includes(order.host)) progress.places.delete(order.host);
        return hosts.release(order.host);
      default:
        // Repeating is harmless: the order for one wave is carried out once.
        place.retryAt = state.now + RETRY_MILLISECONDS;
    }
  }

  #addWave(wave: MaintenanceWave): void {
    const { state } = this.#options;
    const before = this.#before.get(wave.number) ?? NO_EARLIER_WAVE;
    const isCompleted = isCompletedBy(wave, before);
    this.#waves.set(wave.number, {
      wave,
      places: new Map(wave.hosts.map((name) => [name, this.#createPlace(name, before)])),
      startedAt: state.now,
      listsSince: state.now,
      hasList: false,
      isCompleted,
    });
    state.ports.writeStatus(wave.number, isCompleted);
  }

  #createPlace(name: string, before: EarlierWave): WavePlace {
    return {
      name,
      stage: getFirstStage(name, before),
      since: this.#options.state.now,
      executorId: "",
      retryAt: 0,
      isOrdered: before.ordered.has(name),
      refusals: 0,
      absentLists: 0,
      absentSince: 0,
    };
  }

  /** Takes over a later record of a wave; a host that was ordered is seen back in any case. */
  #changeWave(progress: WaveProgress, wave: MaintenanceWave): void {
    const { state, hosts } = this.#options;
    progress.wave = wave;
    progress.listsSince = state.now;
    progress.hasList = false;
    const names = new Set(wave.hosts);
    const added = wave.hosts.filter((name) => !progress.places.has(name));
    for (const name of added) progress.places.set(name, this.#createPlace(name, NO_EARLIER_WAVE));
    const removed = [...progress.places.values()].filter(({ name, stage, isOrdered }) =>
      !names.has(name) && !(isOrdered && hasTurn(stage))
    );
    for (const { name, stage } of removed) {
      progress.places.delete(name);
      if (hasTurn(stage)) hosts.release(name);
    }
    const { isCompleted } = progress;
    if (added.length === 0 && removed.length === 0) return;
    state.log("wave-changed", {
      wave: wave.number,
      hosts: wave.hosts.length,
      added: added.length,
      removed: removed.length,
      isCompleted,
    });
    if (isCompleted && added.length > 0) this.#reopen(progress);
  }

  /** Looks at a list that was read since the last one: which hosts have gone, and which are back. */
  #readList(progress: WaveProgress): void {
    const { state, hosts, awayMilliseconds } = this.#options;
    const listedAt = hosts.getListedAt();
    progress.listsSince = listedAt;
    progress.hasList = true;
    for (const place of progress.places.values()) {
      if (hosts.getHosts().has(place.name)) {
        place.absentLists = 0;
        if (place.stage === WaveStage.Gone) this.#returnToWave(progress, place);
        continue;
      }
      if (place.absentLists === 0) place.absentSince = listedAt;
      place.absentLists += 1;
      const isUnderWay = place.stage === WaveStage.Waiting || place.stage === WaveStage.Emptying;
      // No host that stays is on its way between two pools for longer.
      const isLong = listedAt - place.absentSince >= awayMilliseconds + OVERDUE_MILLISECONDS;
      if (!isUnderWay || !isLong || place.absentLists < ABSENT_LISTS) continue;
      if (hosts.hasListedExecutor(place.name)) continue;
      state.log("wave-host-gone", this.#describeAbsence(progress, place));
      // One that waits may be reserved for a move.
      if (hasTurn(place.stage)) hosts.release(place.name);
      this.#setStage(place, WaveStage.Gone);
    }
  }

  /** Lets a host that had gone wait for its maintenance again, even if its wave was completed. */
  #returnToWave(progress: WaveProgress, place: WavePlace): void {
    const { state } = this.#options;
    state.log("wave-host-returned", {
      host: place.name,
      wave: progress.wave.number,
      gone: Math.round(state.now - place.since),
      isCompleted: progress.isCompleted,
    });
    this.#setStage(place, WaveStage.Waiting);
    if (progress.isCompleted) this.#reopen(progress);
  }

  /** Tells that a wave is not completed any more. */
  #reopen(progress: WaveProgress): void {
    const { state } = this.#options;
    progress.isCompleted = false;
    progress.startedAt = state.now;
    state.ports.writeStatus(progress.wave.number, false);
    state.ports.write([createWaveEntry(progress)], () => {});
  }

  #advance(progress: WaveProgress): void {
    const { state, hosts } = this.#options;
    let open = 0;
    for (const place of progress.places.values()) {
      this.#advancePlace(progress, place);
      if (hasTurn(place.stage)) open += 1;
    }
    const waiting = [...progress.places.values()].filter(({ stage }) =>
      stage === WaveStage.Waiting
    );
    const known = waiting.filter(({ retryAt }) => state.now >= retryAt)
      .map((place) => hosts.getHosts().get(place.name)).filter((host) => host !== undefined);
    for (const host of known) hosts.markDue(host);
    known.sort((first, second) => hosts.getBurden(first) - hosts.getBurden(second));
    // The most burdened host is begun along with the least: its lasting tasks move one by one.
    const hardest = known.pop();
    if (hardest !== undefined) known.splice(1, 0, hardest);
    const width = this.#getWidth(progress, waiting.length + open);
    for (const host of known.slice(0, Math.max(0, width - open))) {
      if (!hosts.isUp(host) || !hosts.reserve(host, "maintenance")) continue;
      this.#setStage(progress.places.get(host.name)!, WaveStage.Emptying);
      state.log("host-emptied", {
        host: host.name,
        wave: progress.wave.number,
        burden: hosts.getBurden(host),
      });
    }
    if (progress.hasList && open === 0 && waiting.length === 0) this.#complete(progress);
  }

  /** Gets how many hosts are worked on at once: half the ceiling, or as many as the time demands. */
  #getWidth(progress: WaveProgress, left: number): number {
    const { state, awayMilliseconds } = this.#options;
    const { wave, startedAt } = progress;
    const plannedEnd = startedAt + wave.durationMilliseconds * PLANNED_PART;
    const timeLeft = Math.max(1, plannedEnd - state.now);
    const eachMilliseconds = awayMilliseconds + PATIENCE_MILLISECONDS;
    const needed = Math.ceil(left * eachMilliseconds / timeLeft);
    return Math.max(1, Math.min(wave.ceiling, Math.max(needed, Math.ceil(wave.ceiling / 2))));
  }

  #advancePlace(progress: WaveProgress, place: WavePlace): void {
    const { state, hosts, awayMilliseconds } = this.#options;
    const host = hosts.getHosts().get(place.name);
    switch (place.stage) {
      case WaveStage.Emptying:
        if (host === undefined) {
          // One that an earlier owner ordered may be away: it counts against the ceiling.
          if (!place.isOrdered) this.#leaveTurn(progress, place);
          return;
        }
        // A host that an earlier owner ordered is not reserved by this one yet.
        hosts.reserve(host, "maintenance");
        hosts.empty(host);
        if (state.now - place.since > PATIENCE_MILLISECONDS) hosts.clear(host);
        if (!hosts.isEmpty(host) || !hosts.mayOrder(host.name)) return;
        place.executorId = host.executorId;
        return this.#order(progress, place);
      case WaveStage.Storing:
        if (host !== undefined) hosts.empty(host);
        return;
      case WaveStage.Ordered:
        // Its executor may be listed anew meanwhile, and the order be carried out late.
        if (host !== undefined) hosts.empty(host);
        if (place.retryAt !== 0 && state.now >= place.retryAt) this.#order(progress, place);
        return;
      case WaveStage.Away: {
        const isBack = host !== undefined && hosts.isUp(host) &&
          hosts.getListedAt() > place.since + awayMilliseconds / 2 &&
          host.executorId !== "" && state.executors.get(host.executorId)?.isFenced === true;
        const isOverdue = state.now - place.since > awayMilliseconds + OVERDUE_MILLISECONDS &&
          (host === undefined || hosts.isUp(host));
        if (isBack || isOverdue) this.#finish(progress, place);
      }
    }
  }

  /** Stores that a host is ordered, then orders it. */
  #order(progress: WaveProgress, place: WavePlace): void {
    const { state, hosts } = this.#options;
    place.isOrdered = true;
    this.#setStage(place, WaveStage.Storing);
    const entries = [createWaveEntry(progress), hosts.createOrderEntry(place.name)];
    state.ports.write(entries, () => {
      if (place.stage !== WaveStage.Storing) return;
      const isLate = state.now - place.since > ORDER_RECORD_MILLISECONDS;
      this.#setStage(place, WaveStage.Ordered);
      if (isLate) place.retryAt = state.now + RETRY_MILLISECONDS;
      else this.#send(progress, place);
    });
  }

  #send(progress: WaveProgress, place: WavePlace): void {
    const { state, hosts } = this.#options;
    place.retryAt = 0;
    const host = hosts.getHosts().get(place.name);
    if (!state.mayStart || (host !== undefined && !hosts.isEmpty(host))) {
      place.retryAt = state.now + RETRY_MILLISECONDS;
      return;
    }
    state.ports.maintain({ host: place.name, wave: progress.wave.number, fence: state.fence });
  }

  /** Lets a host that is being emptied wait again, and another one have its turn. */
  #leaveTurn(progress: WaveProgress, place: WavePlace): void {
    const { state, hosts } = this.#options;
    state.log("wave-host-absent", this.#describeAbsence(progress, place));
    this.#setStage(place, WaveStage.Waiting);
    hosts.release(place.name);
  }

  #describeAbsence(progress: WaveProgress, place: WavePlace) {
    const { state, hosts } = this.#options;
    return {
      host: place.name,
      wave: progress.wave.number,
      stage: place.stage,
      lists: place.absentLists,
      absent: Math.round(state.now - place.absentSince),
      listed: hosts.getHosts().size,
      listAge: Math.round(state.now - hosts.getListedAt()),
    };
  }

  #finish(progress: WaveProgress, place: WavePlace): void {
    const { state, hosts } = this.#options;
    state.log("host-maintained", {
      host: place.name,
      wave: progress.wave.number,
      away: Math.round(state.now - place.since),
      isListed: hosts.getHosts().has(place.name),
    });
    this.#setStage(place, WaveStage.Done);
    hosts.release(place.name);
    state.ports.write([createWaveEntry(progress)], () => {});
  }

  #complete(progress: WaveProgress): void {
    const { state } = this.#options;
    progress.isCompleted = true;
    const { number } = progress.wave;
    state.ports.write([createWaveEntry(progress)], () => {
      if (progress.isCompleted) state.ports.writeStatus(number, true);
    });
    state.log("wave-completed", {
      wave: number,
      gone: this.#count(progress, WaveStage.Gone),
      took: Math.round(state.now - progress.startedAt),
      asked: progress.wave.durationMilliseconds,
    });
  }

  #count(progress: WaveProgress, stage: WaveStage): number {
    return [...progress.places.values()].filter((place) => place.stage === stage).length;
  }

  #endExecutor(place: WavePlace): void {
    const { state, endExecutor } = this.#options;
    const executor = state.executors.get(place.executorId);
    if (executor !== undefined) endExecutor(executor, "its host is maintained");
  }

  #setStage(place: WavePlace, stage: WaveStage): void {
    place.stage = stage;
    place.since = this.#options.state.now;
    place.retryAt = 0;
  }
}

/** Gets the pause after a refusal: twice the one before, up to the longest. */
function getRefusalPause(refusalsBefore: number): number {
  return Math.min(FIRST_REFUSAL_MILLISECONDS * 2 ** refusalsBefore, LONGEST_REFUSAL_MILLISECONDS);
}
