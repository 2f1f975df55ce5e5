/** Errors that carry the failed step and the peer involved. */
export { getErrorMessage, StepError, type StepErrorOptions } from "./step_error.ts";
