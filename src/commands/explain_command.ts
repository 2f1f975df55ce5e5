/** The command that traces a job or a call through event logs: `explain`. */

import { createInterface } from "node:readline";
import { Command, Option } from "clipanion";
import { ExitCode } from "./exit_code.ts";
import { explainRequest } from "./explain_request.ts";

/** Reads event logs from standard input and prints the trace and the outcome of one job or call. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Trace a job or a call about it through event logs on standard input",
    examples: [["Trace one job", "cat entry-*.log | tanagerpin explain 5c0e7a21d94b36f8"]],
  });
  id = Option.String({ name: "id" });

  override async execute(): Promise<number> {
    const lines: string[] = [];
    for await (const line of createInterface({ input: this.context.stdin })) lines.push(line);
    const trace = explainRequest(this.id, lines);
    for (const line of trace.lines) this.context.stdout.write(line + "\n");
    this.context.stdout.write(trace.verdict + "\n");
    return ExitCode.Done;
  }
}
