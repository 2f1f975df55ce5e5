/** The connections of callers: accepts them, reads them in turn, and closes those over budget. */

import type { Socket } from "node:net";
import type { CallerAccount } from "./caller_account.ts";
import { type CallerBudget, type Closing, ReadDecision } from "./caller_budget.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { CallerLimits } from "./caller_limits.ts";
import type { SocketStream } from "./socket_stream.ts";

/**
 * How long one turn reads connections that have more bytes than a portion, in milliseconds; sockets
 * are polled in between.
 */
const TURN_MILLISECONDS = 5;
/**
 * The connections that are read for the first time in a turn: each may have sent 64 kB, which are
 * received at once.
 */
const STARTS_PER_TURN = 16;
/** How long a connection that is being closed may take to send its last answer, in milliseconds. */
const CLOSE_MILLISECONDS = 1_000;

/** Options of `CallerConnections`. */
export interface CallerConnectionsOptions {
  budget: CallerBudget;
  limits: CallerLimits;
  /** Lets an HTTP server read a stream. */
  serve: (stream: SocketStream) => void;
  /** Called when a connection has received bytes or its end. */
  onReadable: (connection: CallerConnection) => void;
  /** Calls `runTurn` once sockets have been polled. */
  scheduleTurn: () => void;
  /** Called before a connection is closed for what it holds. */
  onClosing: (connection: CallerConnection) => void;
  /** Called when a connection is closed. */
  onClosed: (connection: CallerConnection) => void;
}

/** Owns the connections. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #connections = new Map<CallerAccount, CallerConnection>();
  readonly #connectionsByStream = new WeakMap<object, CallerConnection>();
  /** The connections that have more bytes, in the order in which they are read. */
  readonly #ready = new Set<CallerConnection>();
  /** The connections that are read once any request is answered. */
  readonly #waiting = new Set<CallerConnection>();
  /** The connections that were accepted and not read yet. */
  readonly #starting = new Set<CallerConnection>();
  #isTurnScheduled = false;

  private constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  static create(options: CallerConnectionsOptions): CallerConnections {
    return new CallerConnections(options);
  }

  /** Gets the number of connections with bytes that were received and not read. */
  getUnreadCount(): number {
    let count = 0;
    for (const connection of this.#connections.values()) {
      if (connection.hasReceived()) count += 1;
    }
    return count;
  }

  /** Gets the connection whose requests come on a stream, or undefined if it is closed. */
  find(stream: object): CallerConnection | undefined {
    return this.#connectionsByStream.get(stream);
  }

  /** Takes in a new connection, whose socket is paused, or refuses it. */
  accept(socket: Socket): void {
    const address = socket.remoteAddress;
    // The client has closed the connection already.
    if (address === undefined) return void socket.destroy();
    const { budget } = this.#options;
    const { account, closing } = budget.open(address, performance.now());
    this.closeAll(closing);
    if (account === undefined) return void socket.destroy();
    const connection = CallerConnection.create(socket, account, {
      onReadable: this.#options.onReadable,
      onWanted: () => this.#makeReady(connection),
      onFirstBytes: (stream) => {
        this.#connectionsByStream.set(stream, connection);
        this.#options.serve(stream);
      },
      onClosed: () => this.#remove(connection),
    });
    this.#connections.set(account, connection);
    this.#starting.add(connection);
    this.#scheduleTurn();
  }

  /** Reads one portion of a connection if it may be read, and the rest in later turns. */
  read(connection: CallerConnection): void {
    connection.isAnnounced = false;
    this.#readPortion(connection);
    connection.pauseIfUnread();
  }

  /** Reads new connections, and those that have more bytes: one portion each, for a limited time. */
  runTurn(): void {
    this.#isTurnScheduled = false;
    const until = performance.now() + TURN_MILLISECONDS;
    let starts = 0;
    for (const connection of this.#starting) {
      if (starts === STARTS_PER_TURN) break;
      starts += 1;
      this.#starting.delete(connection);
      connection.start();
    }
    for (const connection of [...this.#ready]) {
      this.#ready.delete(connection);
      this.read(connection);
      if (performance.now() >= until) break;
    }
    if (this.#ready.size + this.#starting.size > 0) this.#scheduleTurn();
  }

  /** Reads on after an answer was sent on a connection. */
  handleAnswered(connection: CallerConnection): void {
    if (connection.isReady()) this.#makeReady(connection);
    const [next] = this.#waiting;
    if (next === undefined) return;
    this.#waiting.delete(next);
    this.#makeReady(next);
  }

  /** Closes the connections that the budget has closed. */
  closeAll(closing: readonly Closing[]): void {
    for (const { account } of closing) {
      const connection = this.#connections.get(account);
      if (connection !== undefined) this.closeSoon(connection);
    }
  }

  /** Closes a connection once its last answer is sent, for a limited time. */
  closeSoon(connection: CallerConnection): void {
    if (connection.closeAt !== undefined) return;
    connection.closeAt = performance.now() + CLOSE_MILLISECONDS;
    this.#options.budget.close(connection.account);
    this.#options.onClosing(connection);
    connection.closeSoon();
  }

  /** Closes connections whose time is over. */
  tick(): void {
    const now = performance.now();
    const { budget, limits } = this.#options;
    this.closeAll(budget.closeSilent(now));
    for (const connection of this.#connections.values()) {
      if (connection.closeAt !== undefined && now >= connection.closeAt) connection.close();
      else if (connection.isUnread(now, limits.unreadMilliseconds)) {
        budget.recordUnread(connection.account);
        connection.close();
      }
    }
    for (const connection of this.#waiting) this.#makeReady(connection);
    this.#waiting.clear();
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of this.#connections.values()) connection.close();
  }

  #readPortion(connection: CallerConnection): void {
    if (!connection.isReady() || connection.closeAt !== undefined) return;
    const now = performance.now();
    const { account } = connection;
    account.activeAt = now;
    const { decision, closing } = this.#options.budget.decideReading(account, now);
    this.closeAll(closing);
    if (decision === ReadDecision.Read) connection.passOn();
    else if (decision === ReadDecision.WaitForAny) this.#waiting.add(connection);
    if (!this.#countReceived(connection, now)) return;
    if (decision !== ReadDecision.Read || !connection.isReady()) return;
    this.#ready.add(connection);
    this.#scheduleTurn();
  }

  /** Counts the received bytes; a connection that holds too many is closed. */
  #countReceived(connection: CallerConnection, now: number): boolean {
    const { budget } = this.#options;
    const bytes = connection.getReceivedBytes();
    const more = bytes - connection.countedBytes;
    if (more <= 0) {
      if (more < 0) budget.release(connection.account, -more);
      connection.countedBytes = bytes;
      return !connection.account.isClosed;
    }
    const { refusedBy, closing } = budget.hold(connection.account, more, now);
    this.closeAll(closing);
    if (refusedBy !== undefined) {
      this.closeSoon(connection);
      return false;
    }
    connection.countedBytes = bytes;
    return true;
  }

  #makeReady(connection: CallerConnection): void {
    this.#ready.add(connection);
    this.#scheduleTurn();
  }

  #scheduleTurn(): void {
    if (this.#isTurnScheduled) return;
    this.#isTurnScheduled = true;
    this.#options.scheduleTurn();
  }

  #remove(connection: CallerConnection): void {
    this.#options.budget.close(connection.account);
    this.#connections.delete(connection.account);
    this.#starting.delete(connection);
    this.#ready.delete(connection);
    this.#waiting.delete(connection);
    this.#options.onClosed(connection);
  }
}
