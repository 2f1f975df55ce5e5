/** Simulated callers with a ledger of their requests and the results. */

import { Agent } from "undici";
import { OUTCOME_HEADER } from "../links/problem_document.ts";
import type { Rig } from "./rig.ts";

/** The result of a request, as its caller sees it. */
export const CallerOutcome = {
  Answered: "answered",
  NotRun: "not-run",
  Unknown: "unknown",
  /** The answer to another request. */
  Wrong: "wrong",
} as const;

/** One of the results of a request. */
export type CallerOutcome = (typeof CallerOutcome)[keyof typeof CallerOutcome];

/** One request in the callers' ledger. */
export interface CallerEntry {
  /** The id that the caller assigned to the request. */
  id: string;
  team: string;
  /** Whether the request must run at most once, as it is not idempotent. */
  isAtMostOnce: boolean;
  /** The result, as the caller sees it. */
  told: CallerOutcome;
  /** The reason of the refusal, or the connection error. */
  reason: string;
}

/** Options of `Callers`. */
export interface CallersOptions {
  rig: Rig;
  /** The interval between two requests of one team at one entry host. */
  intervalMilliseconds: number;
  /** The run time of each request at its executor. */
  serviceMilliseconds: number;
}

/** The time after which a caller aborts its request. */
const CALLER_TIMEOUT_MILLISECONDS = 8_000;

/** Sends requests of each team to every entry host, and records them in the ledger. */
export class Callers {
  readonly ledger: CallerEntry[] = [];
  readonly keys = new Map<string, string>();
  readonly #options: CallersOptions;
  readonly #agent = new Agent({ connections: 1_024 });
  readonly #pending = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #sent = 0;

  private constructor(options: CallersOptions) {
    this.#options = options;
  }

  /** Creates callers that do not send yet. */
  static create(options: CallersOptions): Callers {
    return new Callers(options);
  }

  /** Starts to send at the interval. */
  start(): void {
    this.#timer = setInterval(() => this.#sendRound(), this.#options.intervalMilliseconds);
  }

  /** Stops sending, and waits for the pending requests. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
    await this.#agent.destroy();
  }

  #sendRound(): void {
    for (const name of this.#options.rig.entries.keys()) {
      for (const team of this.keys.keys()) {
        const call = this.#call(name, team).finally(() => this.#pending.delete(call));
        this.#pending.add(call);
      }
    }
  }

  async #call(entryHost: string, team: string): Promise<void> {
    const id = `${team}-${this.#sent += 1}`;
    const isAtMostOnce = this.#sent % 2 === 0;
    const address = this.#options.rig.getEntry(entryHost).daemon.getAddress("callers");
    const query = `caller=${id}&milliseconds=${this.#options.serviceMilliseconds}`;
    const entry: CallerEntry = { id, team, isAtMostOnce, told: CallerOutcome.Unknown, reason: "" };
    this.ledger.push(entry);
    try {
      const response = await this.#agent.request({
        origin: `http://${address}`,
        path: `/services/clinics/orders?${query}`,
        method: isAtMostOnce ? "POST" : "GET",
        headers: { authorization: `Bearer ${this.keys.get(team)}` },
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MILLISECONDS),
      });
      const body = await response.body.json() as Record<string, string>;
      const outcome = response.headers[OUTCOME_HEADER];
      if (outcome === undefined) {
        entry.told = isOwnAnswer(body, id) ? CallerOutcome.Answered : CallerOutcome.Wrong;
      } else entry.told = outcome === "not-run" ? CallerOutcome.NotRun : CallerOutcome.Unknown;
      entry.reason = body["type"] ?? "";
    } catch (error) {
      entry.reason = String((error as { code?: string }).code ?? error);
    }
  }
}

function isOwnAnswer(body: Record<string, string>, id: string): boolean {
  return new URLSearchParams(body["path"]?.split("?")[1]).get("caller") === id;
}
