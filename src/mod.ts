/** The coordination parts of tanagerpin, for embedding: no HTTP, no command line, no stand-ins. */
export { Fleet, type FleetData, NO_OFFSET } from "./records/fleet.ts";
export { foldRecords, type FoldResult, type JudgedRecord } from "./records/fold.ts";
export type { DraftRecord, LogRecord } from "./records/record.ts";
export { createRecordRule, createRecordRules, type RecordRule } from "./records/record_rule.ts";
export { type Verdict, VerdictOutcome } from "./records/verdict.ts";
export { RECORD_RULES } from "./entry/record_rules.ts";
export { StepError } from "./errors/mod.ts";
export { decideAccess } from "./teams/access.ts";
export { checkDrain, countLosses } from "./pools/drain_check.ts";
export { DrainWatch } from "./pools/drain_watch.ts";
export { planWave, type WaveOptions } from "./pools/maintenance_planner.ts";
export { decideMaintenanceStep, type MaintenanceAction } from "./pools/maintenance_step.ts";
export { decideMoves, type MoveOptions } from "./pools/move_decision.ts";
export { DemandHistory, getTargetHosts } from "./pools/pool_size.ts";
export { getReturnWeight, ZoneReturns } from "./zones/zone_return.ts";
