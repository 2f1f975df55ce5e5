/** The journal records of jobs: the accepted specification and the progress. */

import { Decoder, Encoder } from "cbor-x";
import { Job, JobState, TaskState } from "../fleet/job.ts";
import { type JobSpecification, parseTaskName } from "../fleet/job_specification.ts";
import type { JournalEntry } from "./owner_ports.ts";

const ACCEPTED_PREFIX = "job/";
const PROGRESS_PREFIX = "progress/";

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

interface AcceptedRecord {
  queue: string;
  customer: string;
  specification: JobSpecification;
  acceptedAt: number;
}

/** The stored progress of a task: the numbers of its failed runs and its latest checkpoint. */
type TaskRecord = [name: string, isDone: boolean, failedRuns: number[], checkpoint: string];

interface ProgressRecord {
  outcome?: JobState | undefined;
  endedAt: number;
  doneOccurrences: number[];
  tasks: TaskRecord[];
}

/** Creates the journal entry that records the acceptance of a job. */
export function createAcceptedEntry(job: Job): JournalEntry {
  const { queue, customer, specification, acceptedAt } = job;
  const record: AcceptedRecord = { queue, customer, specification, acceptedAt };
  return { key: ACCEPTED_PREFIX + job.id, value: encoder.encode(record) };
}

/** Creates the journal entry that records the progress of a job. */
export function createProgressEntry(job: Job): JournalEntry {
  const tasks: TaskRecord[] = [];
  if (job.outcome === undefined) {
    for (const task of job.getTasks()) {
      const isDone = task.state === TaskState.Done;
      if (!isDone && task.failedRuns.size === 0 && task.checkpoint === "") continue;
      const failedRuns = isDone ? [] : [...task.failedRuns];
      tasks.push([task.name, isDone, failedRuns, isDone ? "" : task.checkpoint]);
    }
  }
  const record: ProgressRecord = {
    outcome: job.outcome,
    endedAt: job.endedAt,
    doneOccurrences: [...job.doneOccurrences],
    tasks,
  };
  return { key: PROGRESS_PREFIX + job.id, value: encoder.encode(record) };
}

/** Creates the journal entries that delete a job's records. */
export function createDeletionEntries(job: Job): JournalEntry[] {
  return [{ key: ACCEPTED_PREFIX + job.id }, { key: PROGRESS_PREFIX + job.id }];
}

/** The jobs that were read from a journal. */
export interface StoredJobs {
  /** The jobs; they have only the occurrences of which a task has a record. */
  jobs: Job[];
  /** The keys whose values could not be read, with the reason. */
  unreadable: { key: string; reason: string }[];
}

/** Reads jobs from the newest value of each key. */
export function readStoredJobs(entries: Iterable<readonly [string, Uint8Array]>): StoredJobs {
  const accepted = new Map<string, Job>();
  const progress: [string, Uint8Array][] = [];
  const unreadable: StoredJobs["unreadable"] = [];
  const read = (key: string, apply: () => void) => {
    try {
      apply();
    } catch (error) {
      unreadable.push({ key, reason: String(error) });
    }
  };
  for (const [key, value] of entries) {
    if (key.startsWith(PROGRESS_PREFIX)) progress.push([key, value]);
    if (!key.startsWith(ACCEPTED_PREFIX)) continue;
    read(key, () => {
      const id = key.slice(ACCEPTED_PREFIX.length);
      accepted.set(id, Job.create({ id, ...decoder.decode(value) as AcceptedRecord }));
    });
  }
  for (const [key, value] of progress) {
    const job = accepted.get(key.slice(PROGRESS_PREFIX.length));
    if (job !== undefined) read(key, () => applyProgress(job, decoder.decode(value)));
  }
  return { jobs: [...accepted.values()], unreadable };
}

function applyProgress(job: Job, record: ProgressRecord): void {
  job.outcome = record.outcome;
  job.isOutcomeStored = record.outcome !== undefined;
  job.endedAt = record.endedAt;
  for (const occurrence of record.doneOccurrences) job.doneOccurrences.add(occurrence);
  for (const [name, isDone, failedRuns, checkpoint] of record.tasks) {
    const parts = parseTaskName(name);
    if (parts === undefined) continue;
    if (!job.occurrences.has(parts.occurrence)) {
      job.addOccurrence(parts.occurrence, TaskState.Unknown);
    }
    const task = job.getTask(parts.occurrence, parts.step, parts.index);
    if (task === undefined) continue;
    job.hasStarted = true;
    for (const run of failedRuns) task.failedRuns.add(run);
    task.checkpoint = checkpoint;
    if (!isDone) continue;
    task.state = TaskState.Done;
    task.step.completedTaskCount += 1;
  }
}
