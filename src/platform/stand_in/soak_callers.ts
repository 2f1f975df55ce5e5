/** Callers of a soak: submit jobs over connections that they keep open, and record what they are told. */

import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { setTimeout as delay } from "node:timers/promises";
import { Pool } from "undici";
import type { HostProcess } from "./host_process.ts";

/** How long a caller waits for an answer, in milliseconds. */
const DEADLINE_MILLISECONDS = 3_000;
/** How long after it was sent a request may end without an answer, in milliseconds. */
const UNREAD_MILLISECONDS = 200;
/** The part of its time after which the end of a request is not counted as a cut. */
const COUNTED_FRACTION = 0.7;
/** How often a caller submits a job. */
const MAXIMUM_ATTEMPTS = 40;
/** The delay before a caller submits a job again, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 250;
/** The connections to each host. */
const CONNECTIONS = 4;

/** The statuses that tell a caller that its submission never runs. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([400, 401, 404, 413, 429, 503]);

/** The channel on which undici tells that it sends a request. */
const SENT_CHANNEL = "undici:client:sendHeaders";

/** What became of the submissions of a job. */
export interface SoakSubmission {
  /** The id of the job. */
  id: string;
  /** Whether it was accepted. */
  isAccepted: boolean;
  /** Whether each attempt was answered with a status that tells that it never runs. */
  isRefused: boolean;
}

/** A request that was read and ended without an answer. */
export interface CutRequest {
  /** The host. */
  host: string;
  /** When it ended, on the monotonic clock, in milliseconds. */
  at: number;
  /** How long after it was sent, in milliseconds. */
  took: number;
}

/** Owns the connections to the hosts. */
export class SoakCallers {
  /** The requests that were cut. */
  readonly cuts: CutRequest[] = [];
  /** The number of answers by status. */
  readonly answers: Record<string, number> = {};
  readonly #pools: ReadonlyMap<HostProcess, Pool>;
  readonly #hosts: readonly HostProcess[];
  readonly #random: () => number;
  /** Called at the next acceptance of a job. */
  readonly #waiting = new Set<() => void>();
  /** When the last request to each path was sent; before, it may wait for a connection. */
  readonly #sentAt = new Map<string, number>();
  readonly #handleSent = (message: unknown) => {
    this.#sentAt.set((message as { request: { path: string } }).request.path, performance.now());
  };

  private constructor(hosts: readonly HostProcess[], random: () => number) {
    this.#hosts = hosts;
    this.#random = random;
    subscribe(SENT_CHANNEL, this.#handleSent);
    this.#pools = new Map(
      hosts.map((host) => [host, new Pool(host.callers, { connections: CONNECTIONS })]),
    );
  }

  /** Creates callers that choose a host at random for each attempt. */
  static create(hosts: readonly HostProcess[], random: () => number): SoakCallers {
    return new SoakCallers(hosts, random);
  }

  /** Submits a job until it is accepted, or a number of times. */
  async submit(path: string, id: string, body: unknown): Promise<SoakSubmission> {
    const submission = { id, isAccepted: false, isRefused: true };
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS && !submission.isAccepted; attempt += 1) {
      if (attempt > 0) await delay(RETRY_DELAY_MILLISECONDS);
      const status = await this.#call(path + id, body);
      submission.isAccepted = status === 200;
      if (submission.isAccepted) this.#reportAcceptance();
      if (!NOT_RUN_STATUSES.has(status)) submission.isRefused = false;
    }
    return submission;
  }

  /** Waits until a job is accepted. */
  waitForAcceptance(): Promise<void> {
    return new Promise((resolve) => this.#waiting.add(resolve));
  }

  /** Closes all connections. */
  close(): void {
    unsubscribe(SENT_CHANNEL, this.#handleSent);
    for (const pool of this.#pools.values()) void pool.destroy();
  }

  /** Sends a request, and gets the status of its answer; 0 if there is none. */
  async #call(path: string, body: unknown): Promise<number> {
    const host = this.#hosts[Math.floor(this.#random() * this.#hosts.length)]!;
    this.#sentAt.delete(path);
    try {
      const response = await this.#pools.get(host)!.request({
        method: "POST",
        path,
        headers: { host: "berths.example", "deadline-ms": String(DEADLINE_MILLISECONDS) },
        body: JSON.stringify(body),
        headersTimeout: DEADLINE_MILLISECONDS,
      });
      await response.body.dump();
      this.#count(String(response.statusCode));
      return response.statusCode;
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? "error";
      const sentAt = this.#sentAt.get(path);
      const took = sentAt === undefined ? 0 : performance.now() - sentAt;
      this.#count(code);
      const isCounted = took > UNREAD_MILLISECONDS &&
        took < DEADLINE_MILLISECONDS * COUNTED_FRACTION;
      if (isCounted && code !== "ECONNREFUSED") {
        this.cuts.push({ host: host.name, at: performance.now(), took: Math.round(took) });
      }
      return 0;
    }
  }

  #reportAcceptance(): void {
    for (const resolve of this.#waiting) resolve();
    this.#waiting.clear();
  }

  #count(answer: string): void {
    this.answers[answer] = (this.answers[answer] ?? 0) + 1;
  }
}
