/** A stand-in for the host provider that listens on loopback and serves a `ProviderModel`. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { type Host, HostOrderOutcome, HostState } from "../../fleet/host.ts";
import { parseJson } from "../store_client.ts";
import type { ProviderModel } from "./provider_model.ts";
import { sendJson, StandInServer } from "./stand_in_server.ts";

/** The maximum number of hosts on a page of the list. */
const PAGE_HOSTS = 2;

/** How the provider handles a request. */
export const ProviderFault = {
  /** The request is served. */
  None: "none",
  /** The request is neither executed nor answered. */
  RequestLost: "silent",
  /** The request is executed and not answered. */
  AnswerLost: "answer-lost",
  /** The request is refused with status 429. */
  Busy: "busy",
  /** The response does not conform to the protocol. */
  Malformed: "garbled",
} as const;
export type ProviderFault = typeof ProviderFault[keyof typeof ProviderFault];

const WIRE_STATES: Readonly<Record<HostState, string>> = {
  [HostState.Up]: "up",
  [HostState.Moving]: "moving",
  [HostState.Maintenance]: "upkeep",
  [HostState.Down]: "down",
};

const REASON_BY_OUTCOME: Readonly<Record<string, string>> = {
  [HostOrderOutcome.NotInService]: "busy",
  [HostOrderOutcome.Fenced]: "fence",
};

/** A host provider with faults that tests set. */
export class ProviderStandIn {
  /** How all further requests are handled. */
  fault: ProviderFault = ProviderFault.None;
  /** The lease holder and fence of each received order. */
  readonly holders: string[] = [];
  readonly #model: ProviderModel;
  readonly #server: StandInServer;

  private constructor(model: ProviderModel) {
    this.#model = model;
    this.#server = StandInServer.create((request, body, response) =>
      this.#handle(request, body, response)
    );
  }

  /** Creates a provider that serves a model. It accepts requests once `listen` is called. */
  static create(model: ProviderModel): ProviderStandIn {
    return new ProviderStandIn(model);
  }

  /** Listens on a free loopback port and returns the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Closes the listening socket and all connections. */
  close(): void {
    this.#server.close();
  }

  #handle(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
    if (this.fault === ProviderFault.RequestLost) return;
    if (this.fault === ProviderFault.Busy) return sendJson(response, 429, {});
    if (this.fault === ProviderFault.Malformed) {
      return sendJson(response, 200, { machines: "many" });
    }
    const url = new URL(request.url ?? "/", "http://provider");
    if (url.pathname === "/-/machines") return this.#list(url, response);
    const outcome = this.#executeOrder(request, url.pathname, body);
    if (this.fault === ProviderFault.AnswerLost) return;
    if (outcome === HostOrderOutcome.Accepted) return sendJson(response, 200, {});
    if (outcome === HostOrderOutcome.Rejected) return sendJson(response, 400, {});
    sendJson(response, 409, { reason: REASON_BY_OUTCOME[outcome] });
  }

  #list(url: URL, response: ServerResponse): void {
    const hosts = this.#model.list();
    const from = Number(url.searchParams.get("pageToken") ?? 0);
    const next = from + PAGE_HOSTS;
    sendJson(response, 200, {
      machines: hosts.slice(from, next).map(encodeHost),
      nextToken: next < hosts.length ? String(next) : "",
    });
  }

  #executeOrder(request: IncomingMessage, path: string, body: Buffer): HostOrderOutcome {
    const { machine, pool, wave } = parseJson(body) as {
      machine: string;
      pool?: string;
      wave?: number;
    };
    const fence = Number(request.headers["fence-token"]);
    this.holders.push(`${request.headers["lease-holder"]}/${fence}`);
    const order = { host: machine, fence };
    const now = performance.now();
    return path === "/-/machine-move"
      ? this.#model.move(order, pool ?? "", now)
      : this.#model.maintain(order, wave ?? 0, now);
  }
}

function encodeHost(host: Host): Record<string, unknown> {
  const { cpu, memory, accelerators } = host.capacity;
  return {
    machine: host.name,
    pool: host.pool,
    state: WIRE_STATES[host.state],
    zone: host.zone,
    labels: ["a"],
    capacity: { cpu, memMb: memory, gpu: accelerators },
    id: host.executorId,
  };
}
