/** The event log of a daemon, written to standard output. */

import { createEventLog, type EventFields, type EventLog } from "../events/mod.ts";

/** Creates the event log of this process; `TANAGERPIN_LOG_LEVEL=silent` turns it off. */
export function createProcessLog(fields: EventFields): EventLog {
  return createEventLog({
    fields,
    isSilent: process.env["TANAGERPIN_LOG_LEVEL"] === "silent",
    write: (line) => process.stdout.write(line + "\n"),
  });
}
