/** Callers with a ledger of what they asked and what they were told. */

import { Agent } from "undici";
import { OUTCOME_HEADER } from "../links/problem_document.ts";
import type { Rig } from "./rig.ts";

/** What a caller was told. */
export const CallerOutcome = {
  Answered: "answered",
  NotRun: "not-run",
  Unknown: "unknown",
  /** An answer that is not its own. */
  Wrong: "wrong",
} as const;

/** One of the things that a caller can be told. */
export type CallerOutcome = (typeof CallerOutcome)[keyof typeof CallerOutcome];

/** One request in the callers' ledger. */
export interface CallerEntry {
  /** The id that the caller gave it. */
  id: string;
  /** The team. */
  team: string;
  /** Whether it must not run more than once. */
  isAtMostOnce: boolean;
  /** What the caller was told. */
  told: CallerOutcome;
  /** The reason of a refusal, or the error of the connection. */
  reason: string;
}

/** Options of `Callers`. */
export interface CallersOptions {
  /** The rig. */
  rig: Rig;
  /** The time between two requests of one team at one entry host. */
  intervalMilliseconds: number;
  /** How long each request runs at its executor. */
  serviceMilliseconds: number;
}

/** The longest time that a caller waits. */
const CALLER_TIMEOUT_MILLISECONDS = 8_000;

/** Sends requests of each team to every entry host, and keeps the ledger. */
export class Callers {
  readonly ledger: CallerEntry[] = [];
  readonly keys = new Map<string, string>();
  readonly #options: CallersOptions;
  readonly #agent = new Agent({ connections: 1_024 });
  readonly #underWay = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #sent = 0;

  private constructor(options: CallersOptions) {
    this.#options = options;
  }

  /** Creates the callers; `start` lets them begin. */
  static create(options: CallersOptions): Callers {
    return new Callers(options);
  }

  /** Begins to send. */
  start(): void {
    this.#timer = setInterval(() => this.#sendRound(), this.#options.intervalMilliseconds);
  }

  /** Sends no more, and waits for what is under way. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#underWay);
    await this.#agent.destroy();
  }

  #sendRound(): void {
    for (const name of this.#options.rig.entries.keys()) {
      for (const team of this.keys.keys()) {
        const call = this.#call(name, team).finally(() => this.#underWay.delete(call));
        this.#underWay.add(call);
      }
    }
  }

  async #call(entryHost: string, team: string): Promise<void> {
    const id = `${team}-${this.#sent += 1}`;
    const isAtMostOnce = this.#sent % 2 === 0;
    const address = this.#options.rig.getEntry(entryHost).daemon.getAddress("callers");
    const query = `caller=${id}&milliseconds=${this.#options.serviceMilliseconds}`;
    const entry: CallerEntry = {
      id,
      team,
      isAtMostOnce: isAtMostOnce,
      told: CallerOutcome.Unknown,
      reason: "",
    };
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
        entry.told = isOwn(body, id) ? CallerOutcome.Answered : CallerOutcome.Wrong;
      } else entry.told = outcome === "not-run" ? CallerOutcome.NotRun : CallerOutcome.Unknown;
      entry.reason = body["type"] ?? "";
    } catch (error) {
      entry.reason = String((error as { code?: string }).code ?? error);
    }
  }
}

function isOwn(body: Record<string, string>, id: string): boolean {
  return new URLSearchParams(body["path"]?.split("?")[1]).get("caller") === id;
}
