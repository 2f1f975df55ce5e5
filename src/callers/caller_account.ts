/** What one connection of a caller holds in memory. */

import { OPEN_REQUEST_BYTES } from "./caller_limits.ts";

/** How long a connection that holds bytes may receive nothing until it counts as stalled, in milliseconds. */
const STALL_MILLISECONDS = 500;
/** How much more the bytes of a stalled connection weigh. */
const STALLED_WEIGHT_FACTOR = 4;

/** Options of a `CallerAccount`. */
export interface CallerAccountOptions {
  /** Its number: later connections have higher ones. */
  number: number;
  /** The client's address. */
  address: string;
  /** When the connection was opened, on the monotonic clock, in milliseconds. */
  now: number;
}

/** The account of a connection. */
export class CallerAccount {
  /** Its number: later connections have higher ones. */
  readonly number: number;
  /** The client's address. */
  readonly address: string;
  /** The requests whose answers are not sent. */
  openRequests = 0;
  /** The open requests that were not read to their end. */
  unreadRequests = 0;
  /** The bytes of bodies, and those received and not read. */
  heldBytes = 0;
  /** Whether it has sent a request. */
  hasRequested = false;
  /** When it last received bytes or sent an answer, on the monotonic clock, in milliseconds. */
  activeAt: number;
  /** Whether the connection is closed or being closed. */
  isClosed = false;

  private constructor(options: CallerAccountOptions) {
    this.number = options.number;
    this.address = options.address;
    this.activeAt = options.now;
  }

  static create(options: CallerAccountOptions): CallerAccount {
    return new CallerAccount(options);
  }

  /** Gets whether it has neither an open request nor bytes. */
  isIdle(): boolean {
    return this.openRequests === 0 && this.heldBytes === 0;
  }

  /** Gets the memory that it holds, in bytes; that of a stalled connection counts several times. */
  getWeight(now: number): number {
    const bytes = this.heldBytes + this.openRequests * OPEN_REQUEST_BYTES;
    return now - this.activeAt > STALL_MILLISECONDS ? bytes * STALLED_WEIGHT_FACTOR : bytes;
  }
}
