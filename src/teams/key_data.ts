/** The row of a key in the fleet; the secret itself is never stored. */
export interface KeyData {
  /** The public id of the key. */
  keyId: string;
  /** The team that the key authenticates. */
  team: string;
  /** The SHA-256 of the secret, in hexadecimal. */
  secretHash: string;
  /** Whether an operator has withdrawn it; a withdrawn key never becomes valid again. */
  isWithdrawn: boolean;
  /** The offset of the record that last changed it. */
  changedAt: number;
}
