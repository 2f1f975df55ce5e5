/** The client of the provider of hosts. */

import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import { type Host, HostOrderOutcome, HostState } from "../fleet/host.ts";
import { PROVIDER_TIMEOUT_MILLISECONDS } from "../owner/host_order_records.ts";
import { HttpLink, type LinkAnswer } from "./http_link.ts";
import { decodeResources } from "./operator_records.ts";
import { parseJson } from "./store_client.ts";

/** The most connections to the provider. */
const PROVIDER_CONNECTIONS = 4;

const listSchema = z.object({
  machines: z.array(z.object({
    machine: z.string(),
    pool: z.string(),
    state: z.string(),
    zone: z.string(),
    capacity: z.object({
      cpu: z.number().default(0),
      memMb: z.number().default(0),
      gpu: z.number().default(0),
    }),
    // The id of the executor, not of the machine.
    id: z.string().nullish(),
  })),
  nextToken: z.union([z.string(), z.number()]).nullish(),
});

const STATE_BY_WORD: Readonly<Record<string, HostState>> = {
  up: HostState.Up,
  moving: HostState.Moving,
  upkeep: HostState.Maintenance,
};

const OUTCOME_BY_REASON: Readonly<Record<string, HostOrderOutcome>> = {
  fence: HostOrderOutcome.Fenced,
  busy: HostOrderOutcome.Busy,
  wave: HostOrderOutcome.Impossible,
};

/** Options of a `ProviderClient`. */
export interface ProviderClientOptions {
  /** The address. */
  address: string;
  /** Who holds the fence: the name of this host. */
  holder: string;
  /** Logs failed calls. */
  log: EventLog;
}

/** Calls the provider of hosts. */
export class ProviderClient {
  readonly #options: ProviderClientOptions;
  readonly #link: HttpLink;

  private constructor(options: ProviderClientOptions) {
    this.#options = options;
    const { address } = options;
    this.#link = HttpLink.create({ address, connections: PROVIDER_CONNECTIONS });
  }

  /** Creates a client. */
  static create(options: ProviderClientOptions): ProviderClient {
    return new ProviderClient(options);
  }

  /** Gets all hosts, or undefined if the provider does not serve the list. */
  async list(): Promise<Host[] | undefined> {
    const hosts: Host[] = [];
    let token: string | number | null | undefined;
    do {
      const query = token == null ? "" : `?pageToken=${encodeURIComponent(token)}`;
      const answer = await this.#call("list-hosts", "GET", `/-/machines${query}`);
      if (answer === undefined) return undefined;
      if (answer.status !== 200) {
        const { address, log } = this.#options;
        log("provider-refused", { step: "list-hosts", peer: address, status: answer.status });
        return undefined;
      }
      const parsed = listSchema.safeParse(parseJson(answer.body));
      if (!parsed.success) {
        const reason = parsed.error.message;
        this.#options.log("provider-answer-unreadable", { step: "list-hosts", reason });
        return undefined;
      }
      for (const row of parsed.data.machines) {
        hosts.push({
          name: row.machine,
          pool: row.pool,
          state: STATE_BY_WORD[row.state] ?? HostState.Down,
          zone: row.zone,
          capacity: decodeResources(row.capacity),
          executorId: row.id ?? "",
        });
      }
      token = parsed.data.nextToken;
    } while (token != null && token !== "");
    return hosts;
  }

  /** Has a host maintained. */
  maintain(host: string, wave: number, fence: number): Promise<HostOrderOutcome> {
    return this.#order("/-/machine-upkeep", { machine: host, wave }, fence);
  }

  /** Moves a host to another pool. */
  move(host: string, pool: string, fence: number): Promise<HostOrderOutcome> {
    return this.#order("/-/machine-move", { machine: host, pool }, fence);
  }

  /** Closes all connections. */
  close(): void {
    this.#link.close();
  }

  async #order(path: string, body: unknown, fence: number): Promise<HostOrderOutcome> {
    const answer = await this.#call(path, "POST", path, {
      headers: {
        "content-type": "application/json",
        "lease-holder": this.#options.holder,
        "fence-token": String(fence),
      },
      body: JSON.stringify(body),
    });
    if (answer === undefined) return HostOrderOutcome.Unanswered;
    switch (answer.status) {
      case 200:
        return HostOrderOutcome.Done;
      case 400:
        return HostOrderOutcome.Impossible;
      case 409: {
        const reason = (parseJson(answer.body) as { reason?: string } | undefined)?.reason ?? "";
        return OUTCOME_BY_REASON[reason] ?? HostOrderOutcome.Busy;
      }
      default:
        return HostOrderOutcome.Refused;
    }
  }

  async #call(
    step: string,
    method: "GET" | "POST",
    path: string,
    content: { headers?: Record<string, string>; body?: string } = {},
  ): Promise<LinkAnswer | undefined> {
    try {
      return await this.#link.call({
        step,
        method,
        path,
        timeoutMilliseconds: PROVIDER_TIMEOUT_MILLISECONDS,
        ...content,
      });
    } catch (error) {
      const reason = getErrorMessage(error);
      this.#options.log("provider-silent", { step, peer: this.#options.address, reason });
      return undefined;
    }
  }
}
