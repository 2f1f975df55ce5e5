/** The HTTP server of the stand-ins. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { listen } from "../../links/listen.ts";

/**
 * How long the port of a closed server may still be in use, in milliseconds: a process that another
 * thread is starting holds a copy of the listening socket until it runs its program.
 */
const ADDRESS_RELEASE_TIMEOUT_MILLISECONDS = 1_000;
/** The delay before a port that is in use is tried again, in milliseconds. */
const ADDRESS_RETRY_MILLISECONDS = 10;

/** Handles a request whose body was received completely; it may leave the request unanswered. */
export type HandleRequest = (
  request: IncomingMessage,
  body: Buffer,
  response: ServerResponse,
) => void | Promise<void>;

/** An HTTP server on a free loopback port. */
export class StandInServer {
  readonly #server: Server;

  private constructor(handle: HandleRequest) {
    this.#server = createServer((request, response) => {
      void readBody(request).then((body) => handle(request, body, response));
    });
  }

  /** Creates a server. It accepts requests once `listen` is called. */
  static create(handle: HandleRequest): StandInServer {
    return new StandInServer(handle);
  }

  /**
   * Listens on a port of a loopback address, by default a free one, and returns the address. Retries
   * for a while if the port is still in use.
   */
  async listen(port = 0, host = "127.0.0.1"): Promise<string> {
    const until = performance.now() + ADDRESS_RELEASE_TIMEOUT_MILLISECONDS;
    for (;;) {
      try {
        return await listen(this.#server, { host, port });
      } catch (error) {
        const isInUse = (error as NodeJS.ErrnoException).code === "EADDRINUSE";
        if (!isInUse || port === 0 || performance.now() >= until) throw error;
        await delay(ADDRESS_RETRY_MILLISECONDS);
      }
    }
  }

  /** Closes the listening socket and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Sends a response with a JSON body. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
