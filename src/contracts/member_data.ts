/** The stored data of a member of the roster: one process of an entry host. */
export interface MemberData {
  /** The member id of the process, which is new at each start. */
  memberId: string;
  /** The name of the entry host. */
  entryHost: string;
  /** The availability zone. */
  zone: string;
  /** The IP address and port of its peer listener. */
  peerAddress: string;
  /**
   * Whether its own socket is bound to that address, so that no earlier process can still hold it.
   */
  isAddressBound: boolean;
  /** The IP address and port of its operator listener. */
  operatorAddress: string;
  /** The IP address and port of its caller listener. */
  callerAddress: string;
  /** The offset of the record that admitted it. */
  joinedAt: number;
}
