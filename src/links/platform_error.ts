/** Errors of the platform's HTTP interface. */
import { StepError } from "../errors/mod.ts";

/** The platform did not answer as its protocol requires. */
export class PlatformError extends StepError {}
