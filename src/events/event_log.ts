/** The event log: one line of key=value pairs for each event. */

import { createConsola, LogLevels } from "consola";

/** A value of an event field; undefined omits the field. */
export type EventValue = string | number | boolean | undefined;

/** The fields of an event. */
export type EventFields = Readonly<Record<string, EventValue>>;

/** Logs an event. */
export type EventLog = (event: string, fields?: EventFields) => void;

/** Options of `createEventLog`. */
export interface EventLogOptions {
  /** Writes one formatted line, given without a line break. */
  write: (line: string) => void;
  /** Fields to add to every event. */
  fields?: EventFields;
  /** Whether to suppress all output. */
  isSilent?: boolean;
}

/** Creates a log that writes one line of key=value pairs for each event. */
export function createEventLog(options: EventLogOptions): EventLog {
  const logger = createConsola({
    level: options.isSilent ? LogLevels.silent : LogLevels.info,
    reporters: [{ log: (entry) => options.write(String(entry.args[0])) }],
    throttle: 0,
  });
  return (event, fields) => {
    const time = new Date().toISOString();
    logger.info(formatEvent({ time, event, ...options.fields, ...fields }));
  };
}

/** Formats the fields of an event as one line; values with spaces, quotes or `=` are quoted. */
export function formatEvent(fields: EventFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(" ");
}

function formatValue(value: EventValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
