/** Traces one job, or a call about it, through the event logs of all entry hosts. */

/** A parsed line of an event log. */
interface LogLine {
  time: string;
  event: string;
  fields: ReadonlyMap<string, string>;
  text: string;
}

/** Events of the whole process, shown if they occur between the first and the last own line. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  "claim-made",
  "owner-started",
  "owner-ended",
  "owner-deposed",
  "take-over-done",
  "store-lost",
  "store-regained",
  "configuration-outdated",
  "configuration-current",
  "journal-lost",
  "journal-regained",
  "host-started",
  "host-stopping",
  "executor-lost",
  "executor-avoided",
  "zone-evacuated",
]);

/** The trace of a job or a call and its outcome, as far as the event logs show them. */
export interface RequestTrace {
  /** The lines of the job or call and the events of processes in its time, in order of time. */
  lines: string[];
  /** A summary of the outcome and its cause, in one line. */
  verdict: string;
}

/** Traces a job or a call by its id through lines of event logs, which may be in any order. */
export function explainRequest(id: string, logLines: Iterable<string>): RequestTrace {
  const own: LogLine[] = [];
  const processEvents: LogLine[] = [];
  for (const text of logLines) {
    const line = parseLogLine(text);
    if (line === undefined) continue;
    if (line.fields.get("request") === id || line.fields.get("task")?.startsWith(`${id}.`)) {
      own.push(line);
    } else if (PROCESS_EVENTS.has(line.event)) processEvents.push(line);
  }
  own.sort(compareTimes);
  const [first, last] = [own[0]?.time, own.at(-1)?.time];
  const surrounding = first === undefined || last === undefined
    ? []
    : processEvents.filter(({ time }) => time >= first && time <= last);
  const all = [...own, ...surrounding].sort(compareTimes);
  return { lines: all.map(({ text }) => text), verdict: getSummary(id, own, surrounding) };
}

function getSummary(id: string, own: readonly LogLine[], surrounding: readonly LogLine[]): string {
  if (own.length === 0) return `no line names ${id}: it reached no host, or its lines were dropped`;
  const end = own.findLast(({ event }) => event === "job-end");
  const accepted = own.find(({ event }) => event === "job-accepted");
  if (accepted === undefined) return getNotAcceptedSummary(own);
  const losses = countEvents(own, "run-lost");
  const takeOvers = countEvents(surrounding, "take-over-done");
  const failures = own.filter((line) => line.fields.get("end") === "failed").length;
  const counts = `${losses} runs lost, ${failures} failed, ${takeOvers} take-overs meanwhile`;
  if (end === undefined) return `accepted and not ended: ${counts}`;
  const outcome = end.fields.get("outcome");
  const firstStart = own.find(({ event }) => event === "task-start");
  const waited = firstStart?.fields.get("waited") ?? "?";
  return `${outcome} after ${end.fields.get("age")} ms (${end.fields.get("reason")}); ` +
    `first start after ${waited} ms; ${counts}`;
}

function getNotAcceptedSummary(own: readonly LogLine[]): string {
  const response = own.findLast(({ event, fields }) =>
    event === "call-answered" && fields.get("call") === "submit"
  );
  if (response === undefined) return "not accepted, and no response is logged";
  const reason = response.fields.get("reason") ?? "no reason";
  return `not accepted: ${response.fields.get("outcome")} (${reason}), ` +
    `configuration ${response.fields.get("version")}, owner's epoch ${
      response.fields.get("epoch")
    }`;
}

function countEvents(lines: readonly LogLine[], event: string): number {
  return lines.filter((line) => line.event === event).length;
}

function compareTimes(first: LogLine, second: LogLine): number {
  return first.time < second.time ? -1 : first.time > second.time ? 1 : 0;
}

/** Parses a line of key=value pairs; text before the first pair is ignored. */
function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("time=");
  if (start < 0) return undefined;
  const fields = new Map<string, string>();
  for (const [, name, value] of text.slice(start).matchAll(/(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g)) {
    fields.set(name!, value!.startsWith('"') ? JSON.parse(value!) : value!);
  }
  const [time, event] = [fields.get("time"), fields.get("event")];
  return time === undefined || event === undefined
    ? undefined
    : { time, event, fields, text: text.slice(start) };
}
