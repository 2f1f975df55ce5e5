/** A small stand-in of the platform's service: an append-only log and a lagging list of hosts. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { App } from "@tinyhttp/app";
import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import {
  NO_PLATFORM_FAULTS,
  type PlatformFaults,
  platformFaultsSchema,
} from "./platform_faults.ts";
import { PlatformHosts } from "./platform_hosts.ts";

/** Options of a `PlatformStandIn`. */
export interface PlatformStandInOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** How many of the newest entries the log keeps. */
  maximumEntries: number;
}

const appendSchema = z.object({ entries: z.array(z.string()).min(1).max(10_000) });

/** Serves the platform's protocol from memory, with faults that can be ordered at run time. */
export class PlatformStandIn {
  readonly #options: PlatformStandInOptions;
  readonly #server: Server;
  #entries: string[] = [];
  #earliest = 0;
  /** The hosts that the platform lists and reboots. */
  readonly hosts = PlatformHosts.create();
  #faults: PlatformFaults = { ...NO_PLATFORM_FAULTS };

  private constructor(options: PlatformStandInOptions) {
    this.#options = options;
    const app = this.#createApp();
    this.#server = createServer((request, response) =>
      void app.handler(request as never, response as never)
    );
  }

  /** Creates the stand-in; `listen` opens its socket. */
  static create(options: PlatformStandInOptions): PlatformStandIn {
    return new PlatformStandIn(options);
  }

  /** Listens, and gets the address with the port that was chosen. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  /** Adds entries as if they had been appended before. */
  addEntries(entries: readonly string[]): void {
    for (const entry of entries) this.#entries.push(entry);
    const excess = this.#entries.length - this.#options.maximumEntries;
    if (excess <= 0) return;
    this.#entries = this.#entries.slice(excess);
    this.#earliest += excess;
  }

  /** Orders faults; those left out stay as they are. */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Closes the socket and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
    this.hosts.close();
  }

  #createApp(): App {
    const app = new App({ settings: { xPoweredBy: false } });
    app.post("/faults", (request, response) =>
      this.#answer(request, response, async () => {
        const faults = platformFaultsSchema.parse(await readJson(request));
        this.setFaults(faults as Partial<PlatformFaults>);
        return this.#faults;
      }));
    app.post(
      "/log",
      (request, response) => this.#serve(request, response, () => this.#append(request)),
    );
    app.get(
      "/log",
      (request, response) => this.#serve(request, response, () => this.#read(request)),
    );
    app.get(
      "/hosts",
      (request, response) => this.#serve(request, response, () => this.hosts.list(this.#faults)),
    );
    app.post(
      "/hosts",
      (request, response) =>
        this.#answer(request, response, async () => this.hosts.register(await readJson(request))),
    );
    app.post(
      "/hosts/:host/reboot",
      (request, response) =>
        this.#serve(request, response, async () => {
          const name = String(request.params["host"]);
          return this.hosts.reboot(name, await readJson(request), this.#faults);
        }),
    );
    return app;
  }

  /** Serves one exchange under the faults in force. */
  async #serve(request: unknown, response: unknown, work: () => unknown): Promise<void> {
    await wait(this.#faults.delayMilliseconds);
    if (this.#faults.isDown) {
      sendJson(response, 503, { detail: "the platform is down" });
      return;
    }
    await this.#answer(request, response, work);
  }

  async #answer(_request: unknown, response: unknown, work: () => unknown): Promise<void> {
    try {
      const answer = await work();
      if (answer === undefined) (response as ServerResponse).destroy();
      else sendJson(response, 200, answer);
    } catch (error) {
      sendJson(response, 400, { detail: getErrorMessage(error) });
    }
  }

  async #append(request: unknown): Promise<unknown> {
    const { entries } = appendSchema.parse(await readJson(request));
    const firstOffset = this.#earliest + this.#entries.length;
    this.addEntries(entries);
    if (this.#faults.loseAppendAnswers === 0) return { firstOffset };
    this.#faults.loseAppendAnswers -= 1;
    return undefined;
  }

  #read(request: unknown): unknown {
    const parameters = getParameters(request);
    const from = Math.max(Number(parameters.get("from") ?? 0), this.#earliest);
    const limit = Number(parameters.get("limit") ?? 1_000);
    const start = from - this.#earliest;
    const entries = this.#entries.slice(start, start + limit)
      .map((text, index) => ({ offset: from + index, text }));
    return { head: this.#earliest + this.#entries.length, earliest: this.#earliest, entries };
  }
}

function wait(milliseconds: number): Promise<void> {
  if (milliseconds === 0) return Promise.resolve();
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function getParameters(request: unknown): URLSearchParams {
  const { originalUrl, url } = request as { originalUrl?: string; url: string };
  return new URL(originalUrl ?? url, "http://platform").searchParams;
}

async function readJson(request: unknown): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as IncomingMessage) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function sendJson(target: unknown, status: number, value: unknown): void {
  const response = target as ServerResponse;
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(value));
}
