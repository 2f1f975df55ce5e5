/** The journal records of jobs: the accepted specification and the progress. */

import { Decoder, Encoder } from "cbor-x";
import { Job, JobState, type JobStep, type JobTask, TaskState } from "../fleet/job.ts";
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

/** The stored done tasks of a step with many tasks: a bit for each, the lowest index first. */
type StepRecord = [occurrence: number, step: number, doneTasks: Uint8Array];

/** Two or more completed occurrences that follow each other. */
type OccurrenceRange = [first: number, count: number];

interface ProgressRecord {
  outcome?: JobState | undefined;
  endedAt: number;
  /** The completed occurrences without the ranges; records of old versions list all here. */
  doneOccurrences: number[];
  /** The ranges of completed occurrences. Records of old versions have none. */
  doneRanges?: OccurrenceRange[];
  tasks: TaskRecord[];
  /** The steps with more tasks than `MAXIMUM_LISTED_TASKS`. Records of old versions have none. */
  steps?: StepRecord[];
}

/** The number of tasks up to which the done tasks of a step are stored by name. */
const MAXIMUM_LISTED_TASKS = 256;
const BITS_PER_BYTE = 8;

/** Creates the journal entry that records the acceptance of a job. */
export function createAcceptedEntry(job: Job): JournalEntry {
  const { queue, customer, specification, acceptedAt } = job;
  const record: AcceptedRecord = { queue, customer, specification, acceptedAt };
  return { key: ACCEPTED_PREFIX + job.id, value: encoder.encode(record) };
}

/**
 * Creates the journal entry that records the progress of a job. If its value would be larger than a
 * maximum, it lacks the checkpoints, without which tasks start from their beginning.
 */
export function createProgressEntry(job: Job, maximumBytes: number): JournalEntry {
  const key = PROGRESS_PREFIX + job.id;
  const value = encoder.encode(createProgressRecord(job, true));
  if (value.length <= maximumBytes) return { key, value };
  return { key, value: encoder.encode(createProgressRecord(job, false)) };
}

function createProgressRecord(job: Job, hasCheckpoints: boolean): ProgressRecord {
  const tasks: TaskRecord[] = [];
  const steps: StepRecord[] = [];
  const doneOccurrences: number[] = [];
  const doneRanges: OccurrenceRange[] = [];
  for (const [first, count] of job.doneOccurrences.getRanges()) {
    if (count === 1) doneOccurrences.push(first);
    else doneRanges.push([first, count]);
  }
  const record = {
    outcome: job.outcome,
    endedAt: job.endedAt,
    doneOccurrences,
    ...(doneRanges.length > 0 ? { doneRanges } : {}),
    tasks,
  };
  if (job.outcome !== undefined) return record;
  for (const step of [...job.occurrences.values()].flat()) {
    const isListed = step.tasks.length <= MAXIMUM_LISTED_TASKS;
    for (const task of step.tasks) {
      const isDone = task.state === TaskState.Done;
      if (isDone) {
        if (isListed) tasks.push([task.name, true, [], ""]);
        continue;
      }
      const checkpoint = hasCheckpoints ? task.checkpoint : "";
      if (task.failedRuns.size === 0 && checkpoint === "") continue;
      tasks.push([task.name, false, [...task.failedRuns], checkpoint]);
    }
    if (isListed || step.completedTaskCount === 0) continue;
    steps.push([step.occurrence, step.number, encodeDoneTasks(step)]);
  }
  return steps.length > 0 ? { ...record, steps } : record;
}

function encodeDoneTasks(step: JobStep): Uint8Array {
  const bits = Buffer.alloc(Math.ceil(step.tasks.length / BITS_PER_BYTE));
  for (const { index, state } of step.tasks) {
    if (state === TaskState.Done) bits[Math.floor(index / BITS_PER_BYTE)]! |= getBit(index);
  }
  return bits;
}

function getBit(index: number): number {
  return 1 << (index % BITS_PER_BYTE);
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
  for (const [first, count] of record.doneRanges ?? []) job.doneOccurrences.addRange(first, count);
  for (const [name, isDone, failedRuns, checkpoint] of record.tasks) {
    const parts = parseTaskName(name);
    const task = parts && findOrAddTask(job, parts.occurrence, parts.step, parts.index);
    if (task === undefined) continue;
    for (const runNumber of failedRuns) task.failedRuns.add(runNumber);
    task.checkpoint = checkpoint;
    if (isDone) setDone(task);
  }
  for (const [occurrence, step, doneTasks] of record.steps ?? []) {
    for (let index = 0; index < doneTasks.length * BITS_PER_BYTE; index += 1) {
      if ((doneTasks[Math.floor(index / BITS_PER_BYTE)]! & getBit(index)) === 0) continue;
      const task = findOrAddTask(job, occurrence, step, index);
      if (task !== undefined) setDone(task);
    }
  }
}

/** Finds the task of a record, and adds its occurrence if it is the first one of it. */
function findOrAddTask(
  job: Job,
  occurrence: number,
  step: number,
  index: number,
): JobTask | undefined {
  if (!job.occurrences.has(occurrence)) job.addOccurrence(occurrence, TaskState.Unknown);
  const task = job.getTask(occurrence, step, index);
  if (task !== undefined) job.hasStarted = true;
  return task;
}

function setDone(task: JobTask): void {
  task.state = TaskState.Done;
  task.step.completedTaskCount += 1;
}
