/** Faults of the store of a soak, which come and go and may overlap. */

import { setTimeout as delay } from "node:timers/promises";
import { StoreFault, type StoreStandIn } from "./store_stand_in.ts";

const MAXIMUM_OUTAGE_MILLISECONDS = 1_500;
const MAXIMUM_LOSS_MILLISECONDS = 8_000;
const MINIMUM_LATENESS_MILLISECONDS = 1_000;
const MAXIMUM_LATENESS_MILLISECONDS = 6_000;

/** What becomes of requests during a loss. */
const LOSS_FAULTS = [
  StoreFault.AnswerLost,
  StoreFault.RequestLost,
  StoreFault.AnswerLate,
  StoreFault.ExecutedLate,
];

/** Chooses the fault of a request of a host; `None` if the request is not affected. */
type ChooseFault = (host: string) => StoreFault;

/** Owns the faults of a store. */
export class SoakStoreFaults {
  /** The numbers of requests that were affected, by what became of them. */
  readonly counts: Partial<Record<StoreFault, number>> = {};
  readonly #active = new Set<ChooseFault>();

  private constructor(store: StoreStandIn, random: () => number) {
    store.chooseFault = (_path, host) => this.#chooseFault(host);
    const range = MAXIMUM_LATENESS_MILLISECONDS - MINIMUM_LATENESS_MILLISECONDS;
    store.getLateness = () => MINIMUM_LATENESS_MILLISECONDS + random() * range;
  }

  /** Creates the faults of a store, none of which is active. */
  static create(store: StoreStandIn, random: () => number): SoakStoreFaults {
    return new SoakStoreFaults(store, random);
  }

  /** Has the store refuse all requests for a while. */
  refuse(random: () => number): Promise<void> {
    return this.#play(() => StoreFault.Busy, random() * MAXIMUM_OUTAGE_MILLISECONDS);
  }

  /** Has requests of hosts, or their answers, get lost or late for a while: a part, or all. */
  lose(hosts: ReadonlySet<string>, random: () => number): Promise<void> {
    const duration = random() * MAXIMUM_LOSS_MILLISECONDS;
    const fraction = random();
    const fault = LOSS_FAULTS[Math.floor(random() * LOSS_FAULTS.length)]!;
    const choose = (host: string) =>
      hosts.has(host) && random() < fraction ? fault : StoreFault.None;
    return this.#play(choose, duration);
  }

  #chooseFault(host: string): StoreFault {
    for (const choose of this.#active) {
      const fault = choose(host);
      if (fault === StoreFault.None) continue;
      this.counts[fault] = (this.counts[fault] ?? 0) + 1;
      return fault;
    }
    return StoreFault.None;
  }

  async #play(choose: ChooseFault, milliseconds: number): Promise<void> {
    this.#active.add(choose);
    await delay(milliseconds);
    this.#active.delete(choose);
  }
}
