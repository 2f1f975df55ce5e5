/** All soaks, in the order in which they run. */

import { LOAN_SOAK } from "./loan_soak.ts";
import { ROSTER_SOAK } from "./roster_soak.ts";
import type { Soak } from "./soak.ts";

/** Soaks in order of execution. */
export const SOAKS: readonly Soak[] = [ROSTER_SOAK, LOAN_SOAK];
