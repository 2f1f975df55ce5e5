/** Events and their log. */
export { BoundedWriter, type LineStream } from "./bounded_writer.ts";
export {
  createEventLog,
  type EventFields,
  type EventLog,
  type EventLogOptions,
  type EventValue,
  formatEvent,
} from "./event_log.ts";
