/** The connections to one executor, and which of its incarnations has answered over each. */

import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { AdaptiveTimeout } from "./adaptive_timeout.ts";
import { HttpLink, type LinkConnection } from "./http_link.ts";

/** The maximum number of connections for orders. */
const ORDER_CONNECTIONS = 3;
/**
 * How many acknowledgements in a row are withheld for want of a connection that stays open; an executor,
 * or something on the way, may close each one after a response.
 */
const MAXIMUM_WITHHELD_ACKNOWLEDGEMENTS = 4;

/** A link with one connection at a time, and the incarnation that has answered over it. */
export class ExecutorConnection {
  /** The link. */
  readonly link: HttpLink;
  /** The number of requests in flight. */
  pendingRequests = 0;
  #withheldAcknowledgements = 0;
  #answered: { connection: LinkConnection; born: number } | undefined;

  private constructor(address: string) {
    this.link = HttpLink.create({ address, connections: 1 });
  }

  /** Creates a connection that is opened by its first request. */
  static create(address: string): ExecutorConnection {
    return new ExecutorConnection(address);
  }

  /** Records that an acknowledgement was sent or, if it was withheld, that a poll was answered. */
  recordAcknowledgement(isWithheld: boolean): void {
    this.#withheldAcknowledgements = isWithheld ? this.#withheldAcknowledgements + 1 : 0;
  }

  /** Gets whether no further acknowledgement is withheld: the incarnation has just answered. */
  isWithholdingOver(): boolean {
    return this.#withheldAcknowledgements >= MAXIMUM_WITHHELD_ACKNOWLEDGEMENTS;
  }

  /** Records that an incarnation has answered over a connection. */
  recordAnswer(connection: LinkConnection | undefined, born: number): void {
    if (connection !== undefined) this.#answered = { connection, born };
  }

  /** Finds the open connection if an incarnation has answered over it. */
  findOpen(born: number): LinkConnection | undefined {
    const open = this.link.getConnection();
    return open === this.#answered?.connection && born === this.#answered?.born ? open : undefined;
  }
}

/** The connections to one incarnation of an executor, and the timeout of its requests. */
export class ExecutorLink {
  /** When the incarnation started, in milliseconds since 1970. */
  readonly born: number;
  /** The address of the executor, as IP and port. */
  readonly address: string;
  /** The connection for polls, which may be held. */
  readonly polls: ExecutorConnection;
  /** The timeout of requests. */
  readonly timeout = AdaptiveTimeout.create();
  readonly #orders: readonly ExecutorConnection[];

  private constructor({ address, born }: ExecutorEntry) {
    this.address = address;
    this.born = born;
    this.polls = ExecutorConnection.create(address);
    this.#orders = Array.from(
      { length: ORDER_CONNECTIONS },
      () => ExecutorConnection.create(address),
    );
  }

  /** Creates a link, which connects at its first request. */
  static create(executor: ExecutorEntry): ExecutorLink {
    return new ExecutorLink(executor);
  }

  /** Chooses the connection for an order: the first of those with the fewest requests in flight. */
  chooseForOrder(): ExecutorConnection {
    return this.#orders.reduce((best, connection) =>
      connection.pendingRequests < best.pendingRequests ? connection : best
    );
  }

  /** Gets whether no request is in flight. */
  isIdle(): boolean {
    return this.#getConnections().every(({ pendingRequests }) => pendingRequests === 0);
  }

  /** Closes all connections; pending requests fail. */
  close(): void {
    for (const { link } of this.#getConnections()) link.close();
  }

  #getConnections(): readonly ExecutorConnection[] {
    return [this.polls, ...this.#orders];
  }
}
