/** What the platform's list says of one executor. */

import type { Resources } from "./resources.ts";

/** One life of an executor, as it was last listed. */
export interface ExecutorEntry {
  /** The executor's id; a new life may have the same one. */
  id: string;
  /** The start of this life, in milliseconds since 1970; it tells lives of one id apart. */
  born: number;
  /** The service whose tasks it runs. */
  service: string;
  /** The address, as IP and port. */
  address: string;
  /** The availability zone. */
  zone: string;
  /** The host that it runs on, where it says so. */
  host?: string | undefined;
  /** The kind and the rack. */
  labels: readonly string[];
  /** What it has in all. */
  capacity: Resources;
  /** Whether it is about to leave. */
  isDraining: boolean;
}
