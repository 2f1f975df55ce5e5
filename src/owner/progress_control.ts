/** Writes the progress of jobs to the journal, before the ends that it follows from are acknowledged. */

import type { Executor } from "../fleet/executor.ts";
import type { FleetState } from "./fleet_state.ts";
import { createProgressEntry } from "./job_records.ts";
import type { JournalEntry } from "./owner_ports.ts";

/** The size up to which progress entries are written together, in bytes. */
const MAXIMUM_WRITE_BYTES = 100_000;
/**
 * The size of the entries that wait for the store from which on no more are written, in bytes: while
 * the store doesn't answer, each further end would add the whole progress of its job.
 */
const MAXIMUM_PENDING_BYTES = 2 * 1_048_576;

/** Decides when changed progress is written. */
export class ProgressControl {
  readonly #state: FleetState;
  /** The size of the entries that were written and are not stored yet, in bytes. */
  #pendingBytes = 0;

  private constructor(state: FleetState) {
    this.#state = state;
  }

  /** Creates a control that works on a fleet state. */
  static create(state: FleetState): ProgressControl {
    return new ProgressControl(state);
  }

  /**
   * Writes the progress of changed jobs to the journal. The ends that an executor reported are
   * handled, written, stored and then acknowledged with its next poll, in this order.
   */
  store(): void {
    const state = this.#state;
    if (this.#pendingBytes >= MAXIMUM_PENDING_BYTES) return;
    const unwrittenEnds: [Executor, number][] = [];
    for (const executor of state.executors.values()) {
      if (executor.lastHandledEnd > executor.lastWrittenEnd) {
        unwrittenEnds.push([executor, executor.lastHandledEnd]);
      }
    }
    if (state.changedJobs.size === 0 && unwrittenEnds.length === 0) return;
    const jobs = [...state.changedJobs];
    const ended = jobs.filter((job) => job.outcome !== undefined);
    state.changedJobs.clear();
    for (const [executor, end] of unwrittenEnds) executor.lastWrittenEnd = end;
    const { jobLimits } = state.limits;
    const entries = jobs.map((job) => createProgressEntry(job, jobLimits.maximumValueBytes));
    // Several large entries could exceed what the store takes in a call.
    const groups = groupBySize(entries, MAXIMUM_WRITE_BYTES);
    const lastGroup = groups.pop() ?? [];
    for (const group of groups) this.#write(group, () => {});
    this.#write(lastGroup, () => {
      for (const [executor, end] of unwrittenEnds) {
        executor.lastStoredEnd = Math.max(executor.lastStoredEnd, end);
      }
      for (const job of ended) job.isOutcomeStored = true;
    });
  }

  #write(entries: JournalEntry[], onStored: () => void): void {
    const bytes = entries.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    this.#pendingBytes += bytes;
    const settle = () => void (this.#pendingBytes -= bytes);
    this.#state.ports.write(entries, () => {
      settle();
      onStored();
    }, settle);
  }
}

/** Groups entries in their order, each group up to a size unless it has a single entry. */
function groupBySize(entries: readonly JournalEntry[], maximumBytes: number): JournalEntry[][] {
  const groups: JournalEntry[][] = [];
  let bytes = 0;
  for (const entry of entries) {
    const size = entry.value?.length ?? 0;
    const group = groups.at(-1);
    if (group === undefined || bytes + size > maximumBytes) {
      groups.push([entry]);
      bytes = 0;
    } else group.push(entry);
    bytes += size;
  }
  return groups;
}
