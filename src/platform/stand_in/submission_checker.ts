/** Checks what callers are told about the jobs that they submit through fronts. */

import type { ConfigurationData } from "../../fleet/configuration.ts";
import { parseTaskName } from "../../fleet/job_specification.ts";

/** Options of a `SubmissionChecker`. */
export interface SubmissionCheckerOptions {
  /** The first configuration. */
  configuration: ConfigurationData;
  /** The time in which a configuration applies on all hosts, in milliseconds. */
  configurationDelayMilliseconds: number;
  /** Called with each violation. */
  onViolation: (rule: string, description: string) => void;
}

/** The attempts to submit a job. */
interface Attempts {
  key: string;
  firstSentAt: number;
  count: number;
  refusedCount: number;
  hasStarted: boolean;
}

/**
 * Records the attempts to submit jobs, and reports violations:
 *
 * - `REFUSED`: a task starts although every attempt to submit its job was refused, or the owner
 *   refuses a job that it knows.
 * - `CONFIG`: a job runs or is accepted although it was sent after the withdrawal of its key applied
 *   on all hosts.
 */
export class SubmissionChecker {
  readonly #options: SubmissionCheckerOptions;
  readonly #attempts = new Map<string, Attempts>();
  /** When the withdrawal of each withdrawn key applied on all hosts. */
  readonly #withdrawnAt = new Map<string, number>();
  #keys: ReadonlySet<string>;

  private constructor(options: SubmissionCheckerOptions) {
    this.#options = options;
    this.#keys = getKeys(options.configuration);
  }

  /** Creates a checker without attempts. */
  static create(options: SubmissionCheckerOptions): SubmissionChecker {
    return new SubmissionChecker(options);
  }

  /** Records that a configuration was published. */
  addConfiguration(configuration: ConfigurationData, now: number): void {
    const keys = getKeys(configuration);
    for (const key of this.#keys) {
      if (keys.has(key)) continue;
      this.#withdrawnAt.set(key, now + this.#options.configurationDelayMilliseconds);
    }
    for (const key of keys) this.#withdrawnAt.delete(key);
    this.#keys = keys;
  }

  /** Records an attempt to submit a job. */
  addAttempt(id: string, key: string, now: number): void {
    const attempts = this.#attempts.get(id);
    if (attempts !== undefined) attempts.count += 1;
    else {
      const counts = { count: 1, refusedCount: 0, hasStarted: false };
      this.#attempts.set(id, { key, firstSentAt: now, ...counts });
    }
  }

  /** Checks that an attempt may be answered with success. */
  handleAccepted(id: string, sentAt: number): void {
    const withdrawnAt = this.#withdrawnAt.get(this.#attempts.get(id)!.key) ?? Infinity;
    if (sentAt > withdrawnAt) {
      this.#options.onViolation("CONFIG", `${id} is accepted after its key was withdrawn`);
    }
  }

  /** Checks that a refused attempt is of a job that has not started, or was not the only one. */
  handleRefused(id: string, outcome: string): void {
    const attempts = this.#attempts.get(id)!;
    attempts.refusedCount += 1;
    if (attempts.hasStarted) this.#checkNotRefused(id, attempts, outcome);
  }

  /** Checks that the job of a task that starts was not refused. */
  handleStart(task: string): void {
    const id = parseTaskName(task)?.jobId ?? "";
    const attempts = this.#attempts.get(id);
    if (attempts === undefined) return;
    attempts.hasStarted = true;
    this.#checkNotRefused(id, attempts, "refused before");
    const withdrawnAt = this.#withdrawnAt.get(attempts.key) ?? Infinity;
    if (attempts.firstSentAt > withdrawnAt) {
      this.#options.onViolation("CONFIG", `${id} runs although its key was withdrawn before`);
    }
  }

  #checkNotRefused(id: string, { count, refusedCount }: Attempts, reason: string): void {
    if (refusedCount < count) return;
    this.#options.onViolation("REFUSED", `${id} runs and was refused each time (${reason})`);
  }
}

function getKeys(configuration: ConfigurationData): ReadonlySet<string> {
  return new Set(configuration.customers.flatMap(({ keys }) => keys));
}
