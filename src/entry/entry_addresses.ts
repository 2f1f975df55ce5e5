/** The addresses on which an entry host listens. */
export interface EntryAddresses {
  /** The address for callers. */
  callers: string;
  /** The address for operators. */
  operators: string;
  /** The address for peers. */
  peers: string;
}
