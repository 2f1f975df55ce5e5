/** The connections to one incarnation of an executor. */

import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { AdaptiveTimeout } from "./adaptive_timeout.ts";
import { ExecutorConnection } from "./executor_connection.ts";

/** The maximum number of connections for orders. */
const ORDER_CONNECTIONS = 3;

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
