/** The stored data of the roster and of the former members. */

/** The roster after one accepted change. */
export interface RosterData {
  /** The offset of the change. */
  offset: number;
  /** The ids of the members after the change, sorted. */
  members: readonly string[];
}

/** A former member of the roster. */
export interface DepartureData {
  /** The member id of the process. */
  memberId: string;
  /** The name of its entry host. */
  entryHost: string;
  /** The IP address and port of its peer listener, if its own socket was bound to it. */
  boundAddress: string | undefined;
  /** The offset of the record that removed it from the roster. */
  removedAt: number;
  /** Whether the process is known to have ended, so that no member waits for it. */
  hasEnded: boolean;
}
