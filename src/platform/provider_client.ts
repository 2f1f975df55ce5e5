/** HTTP client of the host provider, the platform service that lists, moves and maintains hosts. */

import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import { type Host, HostOrderOutcome, HostState } from "../fleet/host.ts";
import { PROVIDER_TIMEOUT_MILLISECONDS } from "../owner/host_order_records.ts";
import { HttpLink, type LinkResponse } from "./http_link.ts";
import { decodeResources } from "./published_records.ts";
import { parseJson } from "./store_client.ts";

/** The maximum number of connections to the provider. */
const MAXIMUM_CONNECTIONS = 4;

const hostListSchema = z.object({
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
  // A lone surrogate can't be encoded in the query of the next page.
  nextToken: z.union([z.string().regex(/^\P{Surrogate}*$/u), z.number()]).nullish(),
});

const STATE_BY_NAME: Readonly<Record<string, HostState>> = {
  up: HostState.Up,
  moving: HostState.Moving,
  upkeep: HostState.Maintenance,
};

const OUTCOME_BY_REASON: Readonly<Record<string, HostOrderOutcome>> = {
  fence: HostOrderOutcome.Fenced,
  busy: HostOrderOutcome.NotInService,
  wave: HostOrderOutcome.Rejected,
};

/** Options of a `ProviderClient`. */
export interface ProviderClientOptions {
  /** The address of the provider, as IP and port. */
  address: string;
  /** The value of the `lease-holder` header: the name of this entry host, the same after a restart. */
  holder: string;
  /** Logs failed requests. */
  log: EventLog;
}

/** Sends list requests and orders to the host provider. */
export class ProviderClient {
  readonly #options: ProviderClientOptions;
  readonly #link: HttpLink;

  private constructor(options: ProviderClientOptions) {
    this.#options = options;
    const { address } = options;
    this.#link = HttpLink.create({ address, connections: MAXIMUM_CONNECTIONS });
  }

  /** Creates a client, which connects at its first request. */
  static create(options: ProviderClientOptions): ProviderClient {
    return new ProviderClient(options);
  }

  /** Lists all hosts, page by page; undefined if a page can't be fetched or decoded. */
  async list(): Promise<Host[] | undefined> {
    const hosts: Host[] = [];
    let pageToken: string | number | null | undefined;
    do {
      const query = pageToken == null ? "" : `?pageToken=${encodeURIComponent(pageToken)}`;
      const response = await this.#request("list-hosts", "GET", `/-/machines${query}`);
      if (response === undefined) return undefined;
      if (response.status !== 200) {
        const { address, log } = this.#options;
        log("provider-refused", { step: "list-hosts", peer: address, status: response.status });
        return undefined;
      }
      const parsed = hostListSchema.safeParse(parseJson(response.body));
      if (!parsed.success) {
        const reason = parsed.error.message;
        const { address: peer, log } = this.#options;
        log("provider-answer-unreadable", { step: "list-hosts", peer, reason });
        return undefined;
      }
      for (const row of parsed.data.machines) {
        hosts.push({
          name: row.machine,
          pool: row.pool,
          state: STATE_BY_NAME[row.state] ?? HostState.Down,
          zone: row.zone,
          capacity: decodeResources(row.capacity),
          executorId: row.id ?? "",
        });
      }
      pageToken = parsed.data.nextToken;
    } while (pageToken != null && pageToken !== "");
    return hosts;
  }

  /** Orders the maintenance of a host. */
  maintain(host: string, wave: number, fence: number): Promise<HostOrderOutcome> {
    return this.#sendOrder("/-/machine-upkeep", { machine: host, wave }, fence);
  }

  /** Orders the move of a host to another pool. */
  move(host: string, pool: string, fence: number): Promise<HostOrderOutcome> {
    return this.#sendOrder("/-/machine-move", { machine: host, pool }, fence);
  }

  /** Closes all connections. */
  close(): void {
    this.#link.close();
  }

  async #sendOrder(path: string, body: unknown, fence: number): Promise<HostOrderOutcome> {
    const response = await this.#request(path, "POST", path, {
      headers: {
        "content-type": "application/json",
        "lease-holder": this.#options.holder,
        "fence-token": String(fence),
      },
      body: JSON.stringify(body),
    });
    if (response === undefined) return HostOrderOutcome.Unanswered;
    switch (response.status) {
      case 200:
        return HostOrderOutcome.Accepted;
      case 400:
        return HostOrderOutcome.Rejected;
      case 409: {
        const reason = (parseJson(response.body) as { reason?: string } | undefined)?.reason ?? "";
        return OUTCOME_BY_REASON[reason] ?? HostOrderOutcome.NotInService;
      }
      default:
        return HostOrderOutcome.Refused;
    }
  }

  async #request(
    step: string,
    method: "GET" | "POST",
    path: string,
    options: { headers?: Record<string, string>; body?: string } = {},
  ): Promise<LinkResponse | undefined> {
    try {
      return await this.#link.call({
        step,
        method,
        path,
        idleTimeoutMilliseconds: PROVIDER_TIMEOUT_MILLISECONDS,
        sendLimitMilliseconds: PROVIDER_TIMEOUT_MILLISECONDS,
        ...options,
      });
    } catch (error) {
      const reason = getErrorMessage(error);
      this.#options.log("provider-silent", { step, peer: this.#options.address, reason });
      return undefined;
    }
  }
}
