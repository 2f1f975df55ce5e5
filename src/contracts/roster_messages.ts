/** The messages about the roster from the member task to the other tasks. */

/** A former member, which may still act or run something. */
export interface DepartingMember {
  /** The member id of the process. */
  memberId: string;
  /** The name of its entry host. */
  entryHost: string;
  /** The offset of the record that removed it from the roster. */
  removedAt: number;
  /**
   * Whether its removal is in force: from then on it starts nothing. Its earlier runs may go on,
   * and until the removal is in force, all that it held still counts as held.
   */
  isInForce: boolean;
}

/** The roster as one member has applied it. */
export interface RosterView {
  /** The offset of the newest accepted change of the roster. */
  offset: number;
  /** The ids of the members, sorted. */
  members: readonly string[];
  /** The former members that are still stored, in the order of their removal. */
  departing: readonly DepartingMember[];
}

/** Reports a change of the roster, or a removal that is now in force. */
export interface RosterChanged {
  kind: "roster-changed";
  roster: RosterView;
}
