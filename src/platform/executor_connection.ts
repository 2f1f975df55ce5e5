/** One of the connections to an executor, and the incarnation that has answered over it. */

import { HttpLink, type LinkConnection } from "./http_link.ts";

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
