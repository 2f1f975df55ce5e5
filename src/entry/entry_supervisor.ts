/** Supervision of an entry host, which joins again as a new member if the roster removed it. */

import type { EventLog } from "../events/mod.ts";
import { parseSocketAddress } from "../links/socket_address.ts";
import type { EntryAddresses } from "./entry_addresses.ts";
import { EntryHost } from "./entry_host.ts";
import type { EntrySettings } from "./entry_settings.ts";

/** Options of `EntrySupervisor`. */
export interface EntrySupervisorOptions {
  /** The settings of the first incarnation. */
  settings: EntrySettings;
  /** The event log. */
  log: EventLog;
}

/** Runs incarnations of an entry host on the same addresses, each with a new member id. */
export class EntrySupervisor {
  readonly #options: EntrySupervisorOptions;
  #host: EntryHost | undefined;

  private constructor(options: EntrySupervisorOptions) {
    this.#options = options;
  }

  /** Creates the supervisor; `runUntil` starts the first incarnation. */
  static create(options: EntrySupervisorOptions): EntrySupervisor {
    return new EntrySupervisor(options);
  }

  /** Runs until the promise resolves, then stops gracefully; the signal aborts the open requests. */
  async runUntil(stopRequested: Promise<void>, signal?: AbortSignal): Promise<void> {
    const { log } = this.#options;
    let settings = this.#options.settings;
    let host = EntryHost.create({ settings, log });
    for (;;) {
      this.#host = host;
      const addresses = await host.start();
      settings = withBoundAddresses(settings, addresses);
      const isRemoved = await Promise.race([stopRequested, host.removed.then(() => true)]);
      await host.stop(signal === undefined ? {} : { signal });
      if (isRemoved !== true) return;
      log("joining-again", { predecessor: host.memberId });
      host = EntryHost.create({ settings, log, predecessor: host.memberId });
    }
  }

  /** Gets the state of the current incarnation. */
  getState(): Record<string, unknown> {
    return this.#host?.getState() ?? {};
  }
}

/** Gets the settings with the bound ports, so that the next incarnation has the same addresses. */
function withBoundAddresses(settings: EntrySettings, addresses: EntryAddresses): EntrySettings {
  return {
    ...settings,
    callerAddress: parseSocketAddress(addresses.callers) ?? settings.callerAddress,
    operatorAddress: parseSocketAddress(addresses.operators) ?? settings.operatorAddress,
    peerAddress: parseSocketAddress(addresses.peers) ?? settings.peerAddress,
  };
}
