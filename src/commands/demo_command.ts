/** The command that runs the whole system in one process: `demo`. */

import { Command } from "clipanion";
import { runDemo } from "./demo.ts";
import { ExitCode } from "./exit_code.ts";

/** Runs the demo, which exits when its checks have run. */
export class DemoCommand extends Command {
  static override paths = [["demo"]];
  static override usage = Command.Usage({
    description: "Run the whole system in one process and check it",
  });

  override async execute(): Promise<number> {
    const hasPassed = await runDemo((line) => this.context.stdout.write(line + "\n"));
    return hasPassed ? ExitCode.Done : ExitCode.Refused;
  }
}
