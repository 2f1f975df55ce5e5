/** Allows further attempts within the retry budgets of teams and pools. */

import type { Profile } from "../../profiles/profile.ts";
import type { Fleet } from "../../records/fleet.ts";
import { OPEN_TEAM } from "../../teams/access.ts";
import { parsePresentedKey } from "../../teams/key_secret.ts";
import { Task } from "../../tasks/mod.ts";
import {
  addRequestTokens,
  createRetryBudget,
  hasToken,
  type RetryBudget,
  type RetryBudgetSettings,
  takeToken,
} from "./retry_budget.ts";
import type { DecideRetry } from "./retry_decision.ts";
import type { RetryMessage, RetryRequest } from "./retry_messages.ts";

/** Options of a `RetryTask`. */
export interface RetryTaskOptions {
  /** Decides whether to try again. */
  decideRetry: DecideRetry;
}

/** Owns the retry budgets: one for each pool and one for each team in a pool. */
export class RetryTask extends Task<RetryMessage> {
  readonly #options: RetryTaskOptions;
  readonly #budgets = new Map<string, RetryBudget>();
  #fleet: Fleet | undefined;
  #allowed = 0;
  #denied = 0;

  private constructor(options: RetryTaskOptions) {
    super({ name: "retries" });
    this.#options = options;
  }

  /** Creates the task. */
  static create(options: RetryTaskOptions): RetryTask {
    return new RetryTask(options);
  }

  protected override receive(message: RetryMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        this.#fleet = message.fleet;
        return this.#forgetServices(message.fleet);
      case "log-read":
        return;
      case "started":
        return this.#addStart(message.service, message.presentedKey);
      case "retry-wanted":
        return message.reply(this.#decide(message.request));
    }
  }

  override getState(): unknown {
    return {
      allowed: this.#allowed,
      denied: this.#denied,
      budgets: Object.fromEntries([...this.#budgets].map(([name, { tokens }]) => [name, tokens])),
    };
  }

  #decide(request: RetryRequest): boolean {
    const profile = this.#getProfile(request.service);
    if (profile === undefined) return false;
    const settings = getRetrySettings(profile);
    const names = this.#getBudgetNames(request.service, request.presentedKey);
    const budgets = names.map((name) => this.#budgets.get(name) ?? createRetryBudget(settings));
    const isAllowed = this.#options.decideRetry({
      ...request,
      isIdempotentByProfile: profile.getData().isIdempotent,
      hasBudget: budgets.every(hasToken),
    });
    if (!isAllowed) {
      this.#denied += 1;
      return false;
    }
    this.#allowed += 1;
    names.forEach((name, index) => this.#budgets.set(name, takeToken(budgets[index]!)));
    return true;
  }

  #addStart(service: string, presentedKey: string | undefined): void {
    const profile = this.#getProfile(service);
    if (profile === undefined) return;
    const settings = getRetrySettings(profile);
    for (const name of this.#getBudgetNames(service, presentedKey)) {
      const budget = this.#budgets.get(name);
      if (budget !== undefined) this.#budgets.set(name, addRequestTokens(budget, settings));
    }
  }

  #getProfile(service: string): Profile | undefined {
    return this.#fleet?.getService(service)?.getProfile();
  }

  /** Gets the names of both budgets; dispatch has already checked the key's secret. */
  #getBudgetNames(service: string, presentedKey: string | undefined): readonly string[] {
    const keyId = presentedKey === undefined ? undefined : parsePresentedKey(presentedKey)?.keyId;
    const key = keyId === undefined ? undefined : this.#fleet?.getKey(keyId);
    return [service, `${service}/${key?.getTeamName() ?? OPEN_TEAM}`];
  }

  #forgetServices(fleet: Fleet): void {
    for (const name of this.#budgets.keys()) {
      const [service] = name.split("/", 1) as [string];
      const team = name.slice(service.length + 1);
      const profile = fleet.getService(service)?.getProfile();
      const isKnown = team === "" ? profile !== undefined : profile?.getRights(team) !== undefined;
      if (!isKnown) this.#budgets.delete(name);
    }
  }
}

function getRetrySettings(profile: Profile): RetryBudgetSettings {
  const { retryShare, retryReserve } = profile.getData();
  return { share: retryShare, reserve: retryReserve };
}
