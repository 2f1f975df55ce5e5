/** A stand-in of the provider of hosts on loopback, around the model of its protocol. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { type Host, HostOrderOutcome, HostState } from "../../fleet/host.ts";
import { parseJson } from "../store_client.ts";
import type { ProviderModel } from "./provider_model.ts";
import { sendJson, StandInServer } from "./stand_in_server.ts";

/** How many hosts a page of the list has. */
const PAGE_HOSTS = 2;

/** What goes wrong with a call. */
export const ProviderFault = {
  /** Nothing. */
  None: "none",
  /** It is not answered, and does nothing. */
  RequestLost: "silent",
  /** It is carried out and not answered. */
  AnswerLost: "answer-lost",
  /** It is refused with 429. */
  Busy: "busy",
  /** The answer is not what the protocol allows. */
  Malformed: "garbled",
} as const;
export type ProviderFault = typeof ProviderFault[keyof typeof ProviderFault];

const STATE_WORDS: Readonly<Record<HostState, string>> = {
  [HostState.Up]: "up",
  [HostState.Moving]: "moving",
  [HostState.Maintenance]: "upkeep",
  [HostState.Down]: "down",
};

const REASONS: Readonly<Record<string, string>> = {
  [HostOrderOutcome.NotInService]: "busy",
  [HostOrderOutcome.Fenced]: "fence",
};

/** The provider. */
export class ProviderStandIn {
  /** What goes wrong with the calls from now on. */
  fault: ProviderFault = ProviderFault.None;
  /** The holders that sent orders, with their fences. */
  readonly holders: string[] = [];
  readonly #model: ProviderModel;
  readonly #server: StandInServer;

  private constructor(model: ProviderModel) {
    this.#model = model;
    this.#server = StandInServer.create((request, body, response) =>
      this.#handle(request, body, response)
    );
  }

  /** Creates a provider around a model; `listen` opens its socket. */
  static create(model: ProviderModel): ProviderStandIn {
    return new ProviderStandIn(model);
  }

  /** Listens on a free port of loopback, and gets the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Closes the socket. */
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
    const outcome = this.#order(request, url.pathname, body);
    if (this.fault === ProviderFault.AnswerLost) return;
    if (outcome === HostOrderOutcome.Accepted) return sendJson(response, 200, {});
    if (outcome === HostOrderOutcome.Impossible) return sendJson(response, 400, {});
    sendJson(response, 409, { reason: REASONS[outcome] });
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

  #order(request: IncomingMessage, path: string, body: Buffer): HostOrderOutcome {
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
    state: STATE_WORDS[host.state],
    zone: host.zone,
    labels: ["a"],
    capacity: { cpu, memMb: memory, gpu: accelerators },
    id: host.executorId,
  };
}
