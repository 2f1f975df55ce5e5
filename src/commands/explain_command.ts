/** The command that tells a request's story: `explain`. */

import { createInterface } from "node:readline";
import { Command, Option } from "clipanion";
import { ExitCode } from "./exit_code.ts";
import { explainRequest } from "./explain_request.ts";

/** Reads logs from standard input and tells what became of one request. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Tell a request's story from logs on standard input",
    examples: [["Of one job", "cat front-*.log | tanagerpin explain 5c0e7a21d94b36f8"]],
  });
  id = Option.String({ name: "id" });

  override async execute(): Promise<number> {
    const lines: string[] = [];
    for await (const line of createInterface({ input: this.context.stdin })) lines.push(line);
    const story = explainRequest(this.id, lines);
    for (const line of story.lines) this.context.stdout.write(line + "\n");
    this.context.stdout.write(story.verdict + "\n");
    return ExitCode.Done;
  }
}
