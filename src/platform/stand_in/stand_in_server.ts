/** The server of a stand-in on loopback. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { listen } from "../../links/listen.ts";

/** Answers a request whose body has come whole; one that it does not answer stays silent. */
export type HandleRequest = (
  request: IncomingMessage,
  body: Buffer,
  response: ServerResponse,
) => void | Promise<void>;

/** A server on a free port of loopback. */
export class StandInServer {
  readonly #server: Server;

  private constructor(handle: HandleRequest) {
    this.#server = createServer((request, response) => {
      void readBody(request).then((body) => handle(request, body, response));
    });
  }

  /** Creates a server; `listen` opens its socket. */
  static create(handle: HandleRequest): StandInServer {
    return new StandInServer(handle);
  }

  /** Listens on a free port of loopback, and gets the address. */
  listen(): Promise<string> {
    return listen(this.#server, { host: "127.0.0.1", port: 0 });
  }

  /** Closes the socket and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Answers with a body of JSON. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
