/** Accounts for the memory of an owner's jobs, and decides what may be added to it. */

import type { Job } from "../fleet/job.ts";
import { estimateOccurrenceBytes, estimateSpecificationBytes } from "./job_size.ts";
import { SharedBytes } from "./shared_bytes.ts";

const BYTES_PER_MEGABYTE = 1_048_576;
/**
 * The memory for the occurrences that jobs have beyond their first ones, in bytes: the same on most
 * machines, so that a later owner on a smaller one does not inherit more.
 */
const MAXIMUM_FURTHER_BYTES = 16 * BYTES_PER_MEGABYTE;
/** The part of the jobs' memory that such occurrences may take on a small machine. */
const FURTHER_FRACTION = 0.25;
/** The part of the jobs' memory that occurrences may take even if specifications leave less. */
const OCCURRENCES_FRACTION = 0.25;

/** Whose job it is: a customer's in a queue. */
export type JobHolder = Pick<Job, "queue" | "customer">;

/** What is counted for a job, in bytes. */
interface JobAccount {
  readonly holder: string;
  /** The job without its occurrences. */
  readonly specification: number;
  /** One occurrence. */
  readonly occurrence: number;
  /** The occurrences that it has. */
  occurrences: number;
  /** The occurrences that it has beyond the first one, while it has not ended. */
  further: number;
  /** The first occurrence of a job that has not ended and has none at present. */
  reserved: number;
}

/**
 * The estimated memory of jobs, by their holders. Room for one occurrence of each job is reserved as
 * long as the job has not ended; further occurrences share an amount that no number of jobs exceeds.
 */
export class JobMemory {
  readonly #maximumBytes: number;
  readonly #maximumFurtherBytes: number;
  readonly #accounts = new Map<Job, JobAccount>();
  /** Everything that is counted, with the room that is reserved. */
  readonly #total = SharedBytes.create();
  readonly #occurrences = SharedBytes.create();
  readonly #further = SharedBytes.create();
  /** The room that is reserved for jobs without an occurrence. */
  #reservedBytes = 0;

  private constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
    this.#maximumFurtherBytes = maximumBytes === Infinity
      ? Infinity
      : Math.min(MAXIMUM_FURTHER_BYTES, maximumBytes * FURTHER_FRACTION);
  }

  /** Creates the account of an owner without jobs, with the memory for its jobs in bytes. */
  static create(maximumBytes = Infinity): JobMemory {
    return new JobMemory(maximumBytes);
  }

  /** Gets the estimated memory of all jobs with the room that is reserved for them, in bytes. */
  getBytes(): number {
    return this.#total.bytes;
  }

  /** Gets the estimated memory of the occurrences that jobs have, in bytes. */
  getOccurrenceBytes(): number {
    return this.#occurrences.bytes;
  }

  /** Counts a job as it is now: when it is new, and when its occurrences or its outcome change. */
  update(job: Job): void {
    let account = this.#accounts.get(job);
    if (account === undefined) {
      account = createAccount(job);
      this.#accounts.set(job, account);
      this.#total.add(account.holder, account.specification);
    }
    const { size } = job.occurrences;
    const hasEnded = job.outcome !== undefined;
    this.#set(account, {
      occurrences: size * account.occurrence,
      further: hasEnded ? 0 : Math.max(0, size - 1) * account.occurrence,
      reserved: hasEnded || size > 0 ? 0 : account.occurrence,
    });
  }

  /** Removes a job. */
  remove(job: Job): void {
    const account = this.#accounts.get(job);
    if (account === undefined) return;
    this.#accounts.delete(job);
    this.#set(account, { occurrences: 0, further: 0, reserved: 0 });
    this.#total.add(account.holder, -account.specification);
  }

  /** Gets whether a holder may have one more job. */
  hasRoomForJob(holder: JobHolder): boolean {
    return this.#total.isOpenTo(getHolderName(holder), this.#maximumBytes);
  }

  /** Gets whether a job that was counted may have one more occurrence now. */
  hasRoomForOccurrence(job: Job): boolean {
    const account = this.#accounts.get(job);
    if (account === undefined) return false;
    return job.occurrences.size === 0
      ? this.#hasRoomForFirst(account)
      : this.#hasRoomForFurther(account);
  }

  /**
   * Gets whether a job may have its reserved occurrence: always, unless jobs that were accepted by an
   * owner with more memory take more than this one has.
   */
  #hasRoomForFirst({ holder }: JobAccount): boolean {
    if (this.#total.bytes <= this.#maximumBytes) return true;
    const specifications = this.#total.bytes - this.#occurrences.bytes - this.#reservedBytes;
    const maximumBytes = Math.max(
      this.#maximumBytes - specifications,
      this.#maximumBytes * OCCURRENCES_FRACTION,
    );
    return this.#occurrences.isOpenTo(holder, maximumBytes);
  }

  /**
   * Gets whether a job may have one more occurrence beyond its first. A holder may have as much as it
   * leaves to others, and a job as much as its holder may still have, so that later ones find room.
   */
  #hasRoomForFurther({ holder, occurrence, further }: JobAccount): boolean {
    if (this.#total.bytes + occurrence > this.#maximumBytes) return false;
    const left = this.#maximumFurtherBytes - this.#further.bytes;
    if (occurrence > left) return false;
    const held = this.#further.getBytesOf(holder);
    if (held === 0) return true;
    if (held + occurrence > left) return false;
    return further === 0 || further + occurrence <= left - held;
  }

  #set(
    account: JobAccount,
    next: Pick<JobAccount, "occurrences" | "further" | "reserved">,
  ): void {
    const { holder } = account;
    const added = next.occurrences - account.occurrences;
    this.#occurrences.add(holder, added);
    this.#further.add(holder, next.further - account.further);
    const reserved = next.reserved - account.reserved;
    this.#reservedBytes += reserved;
    this.#total.add(holder, added + reserved);
    Object.assign(account, next);
  }
}

function createAccount(job: Job): JobAccount {
  const { specification } = job;
  return {
    holder: getHolderName(job),
    specification: estimateSpecificationBytes(specification),
    occurrence: estimateOccurrenceBytes(specification),
    occurrences: 0,
    further: 0,
    reserved: 0,
  };
}

function getHolderName({ queue, customer }: JobHolder): string {
  return `${queue} ${customer}`;
}
