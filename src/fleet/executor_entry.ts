/** The entry of an executor in the platform's list. */

import type { Resources } from "./resources.ts";

/** One incarnation of an executor, as last listed. */
export interface ExecutorEntry {
  /** The executor's id, which a later incarnation may reuse. */
  id: string;
  /** The start time, in milliseconds since 1970; distinguishes incarnations with the same id. */
  born: number;
  /** The name of the service whose tasks it runs. */
  service: string;
  /** The address, as IP address and port. */
  address: string;
  /** The availability zone. */
  zone: string;
  /** The host that it runs on, if it is reported. */
  host?: string | undefined;
  /** The labels that steps refer to: the hardware kind, and as the last one the rack. */
  labels: readonly string[];
  /** The total capacity. */
  capacity: Resources;
  /** Whether the platform is draining it before it shuts down. */
  isDraining: boolean;
}
