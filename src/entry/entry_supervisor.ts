/** The lives of one process in the roster: after a removal it joins again under a new identity. */

import type { EventLog } from "../events/mod.ts";
import { parseSocketAddress } from "../links/socket_address.ts";
import type { EntryAddresses } from "./entry_addresses.ts";
import { EntryHost } from "./entry_host.ts";
import type { EntrySettings } from "./entry_settings.ts";

/** Options of `EntryLives`. */
export interface EntrySupervisorOptions {
  /** The settings of the first life. */
  settings: EntrySettings;
  /** The log of events. */
  log: EventLog;
}

/** Runs one entry host after the other on the same addresses, each with an identity of its own. */
export class EntrySupervisor {
  readonly #options: EntrySupervisorOptions;
  #host: EntryHost | undefined;

  private constructor(options: EntrySupervisorOptions) {
    this.#options = options;
  }

  /** Creates the lives; `runUntil` begins the first. */
  static create(options: EntrySupervisorOptions): EntrySupervisor {
    return new EntrySupervisor(options);
  }

  /** Runs until the promise resolves, and then stops gracefully; the signal cuts what still runs. */
  async runUntil(isOver: Promise<void>, signal?: AbortSignal): Promise<void> {
    const { log } = this.#options;
    let settings = this.#options.settings;
    let host = EntryHost.create({ settings, log });
    for (;;) {
      this.#host = host;
      const addresses = await host.start();
      settings = keepAddresses(settings, addresses);
      const isRemoved = await Promise.race([isOver, host.removed.then(() => true)]);
      await host.stop(signal === undefined ? {} : { signal });
      if (isRemoved !== true) return;
      log("joining-again", { predecessor: host.memberId });
      host = EntryHost.create({ settings, log, predecessor: host.memberId });
    }
  }

  /** Gets the state of the present life. */
  getState(): Record<string, unknown> {
    return this.#host?.getState() ?? {};
  }
}

/** Gets the settings with the ports that were chosen, so that links to this process stay good. */
function keepAddresses(settings: EntrySettings, addresses: EntryAddresses): EntrySettings {
  return {
    ...settings,
    callerAddress: parseSocketAddress(addresses.callers) ?? settings.callerAddress,
    operatorAddress: parseSocketAddress(addresses.operators) ?? settings.operatorAddress,
    peerAddress: parseSocketAddress(addresses.peers) ?? settings.peerAddress,
  };
}
