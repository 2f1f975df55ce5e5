/** The rules of the fold for all kinds of records. */

import { MEMBER_RECORD_RULES } from "../contracts/member_records.ts";
import { JOB_RECORD_RULES } from "../jobs/job_records.ts";
import { ROSTER_RECORD_RULES } from "../contracts/roster_records.ts";
import { HOST_RECORD_RULES } from "../machines/host_records.ts";
import { BUDGET_RECORD_RULES } from "../pools/budget_records.ts";
import { MAINTENANCE_RECORD_RULES } from "../pools/maintenance_records.ts";
import { POOL_MEMBERSHIP_RECORD_RULES } from "../pools/pool_membership_records.ts";
import { PROFILE_RECORD_RULES } from "../profiles/profile_records.ts";
import { createRecordRules, type RecordRules } from "../records/record_rule.ts";
import { SNAPSHOT_RECORD_RULES } from "../records/snapshot.ts";
import { KEY_RECORD_RULES } from "../teams/key_records.ts";
import { ZONE_RECORD_RULES } from "../zones/zone_records.ts";

/** The rules by which every entry host validates and applies records. */
export const RECORD_RULES: RecordRules = createRecordRules([
  ...PROFILE_RECORD_RULES,
  ...KEY_RECORD_RULES,
  ...ZONE_RECORD_RULES,
  ...HOST_RECORD_RULES,
  ...MEMBER_RECORD_RULES,
  ...JOB_RECORD_RULES,
  ...SNAPSHOT_RECORD_RULES,
  ...ROSTER_RECORD_RULES,
  ...POOL_MEMBERSHIP_RECORD_RULES,
  ...BUDGET_RECORD_RULES,
  ...MAINTENANCE_RECORD_RULES,
]);
