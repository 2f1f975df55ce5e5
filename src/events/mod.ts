/** The event log and its writer. */
export { BoundedWriter, type LineStream } from "./bounded_writer.ts";
export {
  createEventLog,
  type EventFields,
  type EventLog,
  type EventLogOptions,
  type EventValue,
  formatEvent,
} from "./event_log.ts";
