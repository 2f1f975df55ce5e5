/** All measurements, in the order in which the benchmark runs them. */

import { ADMISSION_MEASUREMENT } from "./admission_measurement.ts";
import { CAPACITY_MEASUREMENT } from "./capacity_measurement.ts";
import { JOB_FOLD_MEASUREMENT } from "./job_fold_measurement.ts";
import { JOB_FAULTS_MEASUREMENT, JOBS_MEASUREMENT } from "./jobs_measurement.ts";
import { PLACEMENT_MEASUREMENT } from "./placement_measurement.ts";
import { DISPATCH_MEASUREMENT } from "./dispatch_measurement.ts";
import { FAIRNESS_MEASUREMENT } from "./fairness_measurement.ts";
import { FOLD_MEASUREMENT } from "./fold_measurement.ts";
import { MAINTENANCE_MEASUREMENT } from "./maintenance_measurement.ts";
import { KEEPER_LOSS_MEASUREMENT } from "./keeper_loss_measurement.ts";
import { LIMITS_MEASUREMENT } from "./limits_measurement.ts";
import { ROOM_MEASUREMENT } from "./room_measurement.ts";
import { START_MEASUREMENT } from "./start_measurement.ts";
import { OVERLOAD_MEASUREMENT } from "./overload_measurement.ts";
import { REQUESTS_MEASUREMENT } from "./requests_measurement.ts";
import { RESUMPTION_MEASUREMENT } from "./resumption_measurement.ts";
import { ZONE_LOSS_MEASUREMENT } from "./zone_loss_measurement.ts";
import { NODE_MEASUREMENT } from "./node_measurement.ts";
import type { Measurement } from "./measurement.ts";
import { ROSTER_MEASUREMENT } from "./roster_measurement.ts";

/** Measurements in order of execution. */
export const MEASUREMENTS: readonly Measurement[] = [
  FOLD_MEASUREMENT,
  START_MEASUREMENT,
  NODE_MEASUREMENT,
  PLACEMENT_MEASUREMENT,
  DISPATCH_MEASUREMENT,
  ROOM_MEASUREMENT,
  JOB_FOLD_MEASUREMENT,
  JOBS_MEASUREMENT,
  JOB_FAULTS_MEASUREMENT,
  MAINTENANCE_MEASUREMENT,
  ADMISSION_MEASUREMENT,
  LIMITS_MEASUREMENT,
  FAIRNESS_MEASUREMENT,
  KEEPER_LOSS_MEASUREMENT,
  REQUESTS_MEASUREMENT,
  OVERLOAD_MEASUREMENT,
  ZONE_LOSS_MEASUREMENT,
  RESUMPTION_MEASUREMENT,
  ROSTER_MEASUREMENT,
  CAPACITY_MEASUREMENT,
];
