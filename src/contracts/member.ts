/** A member of the roster. */

import type { Fleet } from "../records/fleet.ts";
import type { MemberData } from "./member_data.ts";

/** Options of a `Member`. */
export interface MemberOptions {
  /** The fleet to which the member belongs. */
  fleet: Fleet;
  /** The stored data of the member. */
  data: MemberData;
}

/** One process of an entry host that has been admitted to the roster. */
export class Member {
  readonly #data: MemberData;

  private constructor(options: MemberOptions) {
    this.#data = options.data;
  }

  /** Creates the member. */
  static create(options: MemberOptions): Member {
    return new Member(options);
  }

  /** Gets the member id of the process. */
  getId(): string {
    return this.#data.memberId;
  }

  /** Gets the name of the entry host. */
  getEntryHost(): string {
    return this.#data.entryHost;
  }

  /** Gets the IP address and port of the peer listener. */
  getPeerAddress(): string {
    return this.#data.peerAddress;
  }

  /** Gets the stored data of the member. */
  getData(): MemberData {
    return this.#data;
  }
}
