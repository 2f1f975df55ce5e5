/** Carries out maintenance waves: empties a few hosts at a time for the provider to maintain. */

import type { Executor } from "../fleet/executor.ts";
import { HostOrderOutcome } from "../fleet/host.ts";
import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";
import type { FleetState } from "./fleet_state.ts";
import type { HostControl } from "./host_control.ts";
import { ORDER_RECORD_TIMEOUT_MILLISECONDS } from "./host_order_records.ts";
import type { MaintainOrder } from "./owner_ports.ts";
import { isInProgress, type WaveHost, type WaveProgress, WaveStage } from "./wave_progress.ts";
import {
  createWaveEntry,
  type EarlierWave,
  getInitialStage,
  NO_EARLIER_WAVE,
  readStoredWaves,
  wasCompleted,
} from "./wave_records.ts";

/**
 * The time beyond the expected duration of maintenance after which a host counts as done without an
 * answer of its executor, or an unlisted host as gone, in milliseconds.
 */
const RETURN_GRACE_MILLISECONDS = 4_000;
/**
 * How many consecutive lists must lack a host before it counts as gone. A list is read page by page
 * while hosts change position, so a single list may miss a host that exists.
 */
const MINIMUM_ABSENT_LISTS = 3;
/** The delay before a failed order is sent again, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 300;
/**
 * The initial and the maximum delay before a rejected order is sent again, in milliseconds. The
 * provider rejects an order for a wave that it does not know yet, e.g. after a stale read of the
 * store. Each attempt empties the host, so the delay grows.
 */
const INITIAL_REJECTION_DELAY_MILLISECONDS = 1_000;
const MAXIMUM_REJECTION_DELAY_MILLISECONDS = 16_000;
/** How long short tasks may run on a host being emptied before they are stopped, in milliseconds. */
const EMPTYING_GRACE_MILLISECONDS = 3_000;
/** The fraction of a wave's duration in which its hosts are planned to be done. */
const PLANNED_FRACTION = 0.7;

export interface MaintenanceControlOptions {
  state: FleetState;
  hosts: HostControl;
  /** Handles that the provider reports the maintenance of an executor's host as ordered. */
  handleHostOrderDone: (executor: Executor, reason: string) => void;
  /** The expected duration of a host's maintenance, in milliseconds. */
  maintenanceMilliseconds: number;
  /** The journal's entries by key, as earlier owners stored them. */
  stored: Iterable<readonly [string, Uint8Array]>;
}

/** Decides which hosts of a wave are emptied and maintained next. */
export class MaintenanceControl {
  readonly #options: MaintenanceControlOptions;
  readonly #waves = new Map<number, WaveProgress>();
  readonly #earlierWaves: ReadonlyMap<number, EarlierWave>;

  private constructor(options: MaintenanceControlOptions) {
    this.#options = options;
    this.#earlierWaves = readStoredWaves(options.stored);
  }

  /** Creates the waves' state from the journal of earlier owners. */
  static create(options: MaintenanceControlOptions): MaintenanceControl {
    return new MaintenanceControl(options);
  }

  /**
   * Sets the waves that operators have requested. The newest request for a wave replaces the
   * earlier ones.
   */
  setWaves(waves: ReadonlyMap<number, MaintenanceWave>): void {
    for (const [number, wave] of waves) {
      const progress = this.#waves.get(number);
      if (progress === undefined) this.#addWave(wave);
      else if (progress.wave !== wave) this.#changeWave(progress, wave);
    }
  }

  /** Gets whether any wave is incomplete. */
  isActive(): boolean {
    for (const progress of this.#waves.values()) if (!progress.isCompleted) return true;
    return false;
  }

  hasPendingMaintenance(host: string): boolean {
    for (const { waveHosts } of this.#waves.values()) {
      const waveHost = waveHosts.get(host);
      if (waveHost !== undefined && waveHost.stage !== WaveStage.Done) return true;
    }
    return false;
  }

  /** Processes a new list of hosts, and advances the incomplete waves. */
  tick(): void {
    const { state, hosts } = this.#options;
    if (!state.mayStart || hosts.getListRequestedAt() < state.startedAt) return;
    for (const progress of this.#waves.values()) {
      if (hosts.getListRequestedAt() > progress.ignoreListsUntil) this.#processList(progress);
      if (!progress.isCompleted) this.#advance(progress);
    }
  }

  /** Handles the provider's answer to an order. */
  handleAnswer(order: MaintainOrder, outcome: HostOrderOutcome): void {
    const { state, hosts } = this.#options;
    const progress = this.#waves.get(order.wave);
    const waveHost = progress?.waveHosts.get(order.host);
    if (progress === undefined || waveHost?.stage !== WaveStage.Ordered) return;
    state.log("maintenance-answered", { host: order.host, wave: order.wave, outcome });
    switch (outcome) {
      case HostOrderOutcome.Accepted:
        this.#handleOrderDone(waveHost);
        return this.#setStage(waveHost, WaveStage.Away);
      case HostOrderOutcome.Rejected:
        // The host was not maintained. Only the lists show whether it is gone.
        this.#setStage(waveHost, WaveStage.Waiting);
        waveHost.retryAt = state.now + getRejectionDelay(waveHost.rejections);
        waveHost.rejections += 1;
        if (!progress.wave.hosts.includes(order.host)) progress.waveHosts.delete(order.host);
        return hosts.release(order.host);
      default:
        // A repetition is safe: the provider carries out an order once per wave and host.
        waveHost.retryAt = state.now + RETRY_DELAY_MILLISECONDS;
    }
  }

  #addWave(wave: MaintenanceWave): void {
    const { state } = this.#options;
    const earlier = this.#earlierWaves.get(wave.number) ?? NO_EARLIER_WAVE;
    const isCompleted = wasCompleted(wave, earlier);
    this.#waves.set(wave.number, {
      wave,
      waveHosts: new Map(wave.hosts.map((name) => [name, this.#createWaveHost(name, earlier)])),
      startedAt: state.now,
      ignoreListsUntil: state.now,
      hasProcessedList: false,
      isCompleted,
    });
    state.ports.writeStatus(wave.number, isCompleted);
  }

  #createWaveHost(name: string, earlier: EarlierWave): WaveHost {
    return {
      name,
      stage: getInitialStage(name, earlier),
      since: this.#options.state.now,
      executorId: "",
      retryAt: 0,
      mayHaveBeenOrdered: earlier.ordered.has(name),
      rejections: 0,
      absentLists: 0,
      absentSince: 0,
    };
  }

  /**
   * Applies a newer request for a wave. A host whose maintenance may have been ordered stays in the
   * wave until it is done.
   */
  #changeWave(progress: WaveProgress, wave: MaintenanceWave): void {
    const { state, hosts } = this.#options;
    progress.wave = wave;
    progress.ignoreListsUntil = state.now;
    progress.hasProcessedList = false;
    const names = new Set(wave.hosts);
    const added = wave.hosts.filter((name) => !progress.waveHosts.has(name));
    for (const name of added) {
      progress.waveHosts.set(name, this.#createWaveHost(name, NO_EARLIER_WAVE));
    }
    const removed = [...progress.waveHosts.values()].filter((
      { name, stage, mayHaveBeenOrdered },
    ) => !names.has(name) && !(mayHaveBeenOrdered && isInProgress(stage)));
    for (const { name, stage } of removed) {
      progress.waveHosts.delete(name);
      if (isInProgress(stage)) hosts.release(name);
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

  /**
   * Processes a newer list of hosts: detects the hosts that are gone, and those that have returned.
   */
  #processList(progress: WaveProgress): void {
    const { state, hosts, maintenanceMilliseconds } = this.#options;
    const listRequestedAt = hosts.getListRequestedAt();
    progress.ignoreListsUntil = listRequestedAt;
    progress.hasProcessedList = true;
    for (const waveHost of progress.waveHosts.values()) {
      if (hosts.getHosts().has(waveHost.name)) {
        waveHost.absentLists = 0;
        if (waveHost.stage === WaveStage.Gone) this.#requeueReturned(progress, waveHost);
        continue;
      }
      if (waveHost.absentLists === 0) waveHost.absentSince = listRequestedAt;
      waveHost.absentLists += 1;
      const isBeforeOrder = waveHost.stage === WaveStage.Waiting ||
        waveHost.stage === WaveStage.Emptying;
      // A host that moves between pools is unlisted for less time than this.
      const isAbsentTooLong = listRequestedAt - waveHost.absentSince >=
        maintenanceMilliseconds + RETURN_GRACE_MILLISECONDS;
      if (!isBeforeOrder || !isAbsentTooLong || waveHost.absentLists < MINIMUM_ABSENT_LISTS) {
        continue;
      }
      if (hosts.hasListedExecutor(waveHost.name)) continue;
      state.log("wave-host-gone", this.#describeAbsence(progress, waveHost));
      // A waiting host may be reserved for a move, whose reservation must stay.
      if (isInProgress(waveHost.stage)) hosts.release(waveHost.name);
      this.#setStage(waveHost, WaveStage.Gone);
    }
  }

  /** Queues a returned host for its maintenance, and reopens its wave if that was completed. */
  #requeueReturned(progress: WaveProgress, waveHost: WaveHost): void {
    const { state } = this.#options;
    state.log("wave-host-returned", {
      host: waveHost.name,
      wave: progress.wave.number,
      gone: Math.round(state.now - waveHost.since),
      isCompleted: progress.isCompleted,
    });
    this.#setStage(waveHost, WaveStage.Waiting);
    if (progress.isCompleted) this.#reopen(progress);
  }

  /** Marks a completed wave as incomplete, in the journal and in the status for operators. */
  #reopen(progress: WaveProgress): void {
    const { state } = this.#options;
    progress.isCompleted = false;
    progress.startedAt = state.now;
    state.ports.writeStatus(progress.wave.number, false);
    state.ports.write([createWaveEntry(progress)], () => {});
  }

  #advance(progress: WaveProgress): void {
    const { state, hosts } = this.#options;
    let inProgress = 0;
    for (const waveHost of progress.waveHosts.values()) {
      this.#advanceHost(progress, waveHost);
      if (isInProgress(waveHost.stage)) inProgress += 1;
    }
    const waiting = [...progress.waveHosts.values()].filter(({ stage }) =>
      stage === WaveStage.Waiting
    );
    const candidates = waiting.filter(({ retryAt }) => state.now >= retryAt)
      .map((waveHost) => hosts.getHosts().get(waveHost.name)).filter((host) => host !== undefined);
    for (const host of candidates) hosts.markPendingMaintenance(host);
    candidates.sort((first, second) =>
      hosts.getEmptyingCost(first) - hosts.getEmptyingCost(second)
    );
    // The costliest host is started together with the cheapest one, because its long-running tasks
    // move one by one and take the longest.
    const costliest = candidates.pop();
    if (costliest !== undefined) candidates.splice(1, 0, costliest);
    const concurrency = this.#getConcurrency(progress, waiting.length + inProgress);
    let remaining = concurrency - inProgress;
    for (const host of candidates) {
      if (remaining <= 0) break;
      if (!hosts.isUp(host) || !hosts.canMoveLongRunningTasks(host)) continue;
      if (!hosts.reserve(host, "maintenance")) continue;
      hosts.cordon(host);
      remaining -= 1;
      this.#setStage(progress.waveHosts.get(host.name)!, WaveStage.Emptying);
      state.log("host-emptied", {
        host: host.name,
        wave: progress.wave.number,
        emptyingCost: hosts.getEmptyingCost(host),
      });
    }
    if (progress.hasProcessedList && inProgress === 0 && waiting.length === 0) {
      this.#complete(progress);
    }
  }

  /** Gets how many hosts to process at once: half the ceiling, or more if time is short. */
  #getConcurrency(progress: WaveProgress, remaining: number): number {
    const { state, maintenanceMilliseconds } = this.#options;
    const { wave, startedAt } = progress;
    const plannedEnd = startedAt + wave.durationMilliseconds * PLANNED_FRACTION;
    const timeLeft = Math.max(1, plannedEnd - state.now);
    const millisecondsPerHost = maintenanceMilliseconds + EMPTYING_GRACE_MILLISECONDS;
    const needed = Math.ceil(remaining * millisecondsPerHost / timeLeft);
    return Math.max(1, Math.min(wave.ceiling, Math.max(needed, Math.ceil(wave.ceiling / 2))));
  }

  #advanceHost(progress: WaveProgress, waveHost: WaveHost): void {
    const { state, hosts, maintenanceMilliseconds } = this.#options;
    const host = hosts.getHosts().get(waveHost.name);
    switch (waveHost.stage) {
      case WaveStage.Emptying:
        if (host === undefined) {
          // A host whose maintenance was ordered may be away, so it keeps counting against the
          // ceiling.
          if (!waveHost.mayHaveBeenOrdered) this.#requeue(progress, waveHost);
          return;
        }
        // A host whose maintenance an earlier owner ordered is not reserved by this owner yet.
        hosts.reserve(host, "maintenance");
        hosts.empty(host);
        if (state.now - waveHost.since > EMPTYING_GRACE_MILLISECONDS) hosts.stopRemainingRuns(host);
        if (!hosts.isEmpty(host) || !hosts.mayOrder(host.name)) return;
        waveHost.executorId = host.executorId;
        return this.#order(progress, waveHost);
      case WaveStage.Storing:
        if (host !== undefined) hosts.empty(host);
        return;
      case WaveStage.Ordered:
        // The order may be carried out late, so an executor that is listed again is cordoned as well.
        if (host !== undefined) hosts.empty(host);
        if (waveHost.retryAt !== 0 && state.now >= waveHost.retryAt) {
          this.#order(progress, waveHost);
        }
        return;
      case WaveStage.Away: {
        const hasReturned = host !== undefined && hosts.isUp(host) &&
          hosts.getListRequestedAt() > waveHost.since + maintenanceMilliseconds / 2 &&
          host.executorId !== "" && state.executors.get(host.executorId)?.hasAcceptedFence === true;
        const isOverdue =
          state.now - waveHost.since > maintenanceMilliseconds + RETURN_GRACE_MILLISECONDS &&
          (host === undefined || hosts.isUp(host));
        if (hasReturned || isOverdue) this.#finish(progress, waveHost);
      }
    }
  }

  /** Stores the journal entry of an order, then sends the order. */
  #order(progress: WaveProgress, waveHost: WaveHost): void {
    const { state, hosts } = this.#options;
    waveHost.mayHaveBeenOrdered = true;
    this.#setStage(waveHost, WaveStage.Storing);
    const entries = [createWaveEntry(progress), hosts.createOrderEntry(waveHost.name)];
    state.ports.write(entries, () => {
      if (waveHost.stage !== WaveStage.Storing) return;
      const isLate = state.now - waveHost.since > ORDER_RECORD_TIMEOUT_MILLISECONDS;
      this.#setStage(waveHost, WaveStage.Ordered);
      if (isLate) waveHost.retryAt = state.now + RETRY_DELAY_MILLISECONDS;
      else this.#send(progress, waveHost);
    });
  }

  #send(progress: WaveProgress, waveHost: WaveHost): void {
    const { state, hosts } = this.#options;
    waveHost.retryAt = 0;
    const host = hosts.getHosts().get(waveHost.name);
    if (!state.mayStart || (host !== undefined && !hosts.isEmpty(host))) {
      waveHost.retryAt = state.now + RETRY_DELAY_MILLISECONDS;
      return;
    }
    state.ports.maintain({ host: waveHost.name, wave: progress.wave.number, fence: state.fence });
  }

  /** Puts a host that is being emptied back in the queue, which lets another one start. */
  #requeue(progress: WaveProgress, waveHost: WaveHost): void {
    const { state, hosts } = this.#options;
    state.log("wave-host-absent", this.#describeAbsence(progress, waveHost));
    this.#setStage(waveHost, WaveStage.Waiting);
    hosts.release(waveHost.name);
  }

  #describeAbsence(progress: WaveProgress, waveHost: WaveHost) {
    const { state, hosts } = this.#options;
    return {
      host: waveHost.name,
      wave: progress.wave.number,
      stage: waveHost.stage,
      absentLists: waveHost.absentLists,
      absentMilliseconds: Math.round(state.now - waveHost.absentSince),
      listed: hosts.getHosts().size,
      listAge: Math.round(state.now - hosts.getListRequestedAt()),
    };
  }

  #finish(progress: WaveProgress, waveHost: WaveHost): void {
    const { state, hosts } = this.#options;
    state.log("host-maintained", {
      host: waveHost.name,
      wave: progress.wave.number,
      away: Math.round(state.now - waveHost.since),
      isListed: hosts.getHosts().has(waveHost.name),
    });
    this.#setStage(waveHost, WaveStage.Done);
    hosts.release(waveHost.name);
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
      durationMilliseconds: Math.round(state.now - progress.startedAt),
      requestedMilliseconds: progress.wave.durationMilliseconds,
    });
  }

  #count(progress: WaveProgress, stage: WaveStage): number {
    return [...progress.waveHosts.values()].filter((waveHost) => waveHost.stage === stage).length;
  }

  #handleOrderDone(waveHost: WaveHost): void {
    const { state, handleHostOrderDone } = this.#options;
    const executor = state.executors.get(waveHost.executorId);
    if (executor !== undefined) handleHostOrderDone(executor, "host under maintenance");
  }

  #setStage(waveHost: WaveHost, stage: WaveStage): void {
    waveHost.stage = stage;
    waveHost.since = this.#options.state.now;
    waveHost.retryAt = 0;
  }
}

/** Gets the delay after a rejection, which doubles up to the maximum. */
function getRejectionDelay(earlierRejections: number): number {
  return Math.min(
    INITIAL_REJECTION_DELAY_MILLISECONDS * 2 ** earlierRejections,
    MAXIMUM_REJECTION_DELAY_MILLISECONDS,
  );
}
