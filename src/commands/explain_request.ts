/** Tells the story of one request from the logs of all entry hosts. */

/** One line of a log, read. */
interface LogLine {
  time: string;
  event: string;
  fields: ReadonlyMap<string, string>;
  text: string;
}

/** Events that tell what the whole process believed, shown where they fall into a request's time. */
const SURROUNDING_EVENTS: ReadonlySet<string> = new Set([
  "claim-made",
  "owner-started",
  "owner-ended",
  "owner-deposed",
  "take-over-done",
  "store-lost",
  "store-regained",
  "journal-lost",
  "journal-regained",
  "host-started",
  "host-stopping",
  "executor-lost",
  "executor-avoided",
  "zone-evacuated",
]);

/** What a request came to, as far as the logs tell. */
export interface RequestTrace {
  /** The lines that name the request, and those around them that explain it, by time. */
  lines: string[];
  /** The cause in one sentence. */
  verdict: string;
}

/** Gets the story of a request from lines of logs, in any order. */
export function explainRequest(id: string, logLines: Iterable<string>): RequestTrace {
  const own: LogLine[] = [];
  const around: LogLine[] = [];
  for (const text of logLines) {
    const line = readLogLine(text);
    if (line === undefined) continue;
    if (line.fields.get("request") === id || line.fields.get("task")?.startsWith(`${id}.`)) {
      own.push(line);
    } else if (SURROUNDING_EVENTS.has(line.event)) around.push(line);
  }
  own.sort(compareTimes);
  const [first, last] = [own[0]?.time, own.at(-1)?.time];
  const surrounding = first === undefined || last === undefined
    ? []
    : around.filter(({ time }) => time >= first && time <= last);
  const all = [...own, ...surrounding].sort(compareTimes);
  return { lines: all.map(({ text }) => text), verdict: getVerdict(id, own, surrounding) };
}

function getVerdict(id: string, own: readonly LogLine[], surrounding: readonly LogLine[]): string {
  if (own.length === 0) return `no line names ${id}: it reached no host, or its lines were dropped`;
  const end = own.findLast(({ event }) => event === "job-end");
  const accepted = own.find(({ event }) => event === "job-accepted");
  if (accepted === undefined) return getNotAcceptedVerdict(own);
  const losses = countEvents(own, "run-lost");
  const takeOvers = countEvents(surrounding, "take-over-done");
  const failures = own.filter((line) => line.fields.get("end") === "failed").length;
  const course = `${losses} runs lost, ${failures} failed, ${takeOvers} take-overs meanwhile`;
  if (end === undefined) return `accepted and not ended: ${course}`;
  const outcome = end.fields.get("outcome");
  const firstStart = own.find(({ event }) => event === "task-start");
  const waited = firstStart?.fields.get("waited") ?? "?";
  return `${outcome} after ${end.fields.get("age")} ms (${end.fields.get("reason")}); ` +
    `first start after ${waited} ms; ${course}`;
}

function getNotAcceptedVerdict(own: readonly LogLine[]): string {
  const answer = own.findLast(({ event, fields }) =>
    event === "call-answered" && fields.get("call") === "submit"
  );
  if (answer === undefined) return "not accepted, and no answer is logged";
  const reason = answer.fields.get("reason") ?? "no reason";
  return `not accepted: ${answer.fields.get("outcome")} (${reason}), ` +
    `configuration ${answer.fields.get("version")}, owner's epoch ${answer.fields.get("epoch")}`;
}

function countEvents(lines: readonly LogLine[], event: string): number {
  return lines.filter((line) => line.event === event).length;
}

function compareTimes(first: LogLine, second: LogLine): number {
  return first.time < second.time ? -1 : first.time > second.time ? 1 : 0;
}

/** Reads a line of key=value pairs; what stands before the first pair is passed over. */
function readLogLine(text: string): LogLine | undefined {
  const begin = text.indexOf("time=");
  if (begin < 0) return undefined;
  const fields = new Map<string, string>();
  for (const [, name, value] of text.slice(begin).matchAll(/(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g)) {
    fields.set(name!, value!.startsWith('"') ? JSON.parse(value!) : value!);
  }
  const [time, event] = [fields.get("time"), fields.get("event")];
  return time === undefined || event === undefined
    ? undefined
    : { time, event, fields, text: text.slice(begin) };
}
