/** The accounts of callers' connections, and the decisions about what they may hold. */
export { CallQueue, type HandleCall } from "./call_queue.ts";
export { CallerAccount } from "./caller_account.ts";
export { CallerBudget, CallerLimit, type Closing, ReadDecision } from "./caller_budget.ts";
export { CallerConnection } from "./caller_connection.ts";
export { CallerConnections } from "./caller_connections.ts";
export { type CallerLimits, createCallerLimits, type MachineLimits } from "./caller_limits.ts";
export { LimitLog } from "./limit_log.ts";
