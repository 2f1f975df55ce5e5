/** The command that checks a configuration before it is published: `check-configuration`. */

import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { getErrorMessage } from "../errors/mod.ts";
import {
  checkConfiguration,
  formatFindingsAsJson,
  formatFindingsAsText,
  hasErrors,
} from "../platform/configuration_check/configuration_check.ts";
import { ExitCode } from "./exit_code.ts";

/** Checks the file of a configuration and prints the findings. */
export class CheckConfigurationCommand extends Command {
  static override paths = [["check-configuration"]];
  static override usage = Command.Usage({
    description: "Check the file of a configuration before it is published",
    examples: [[
      "Check a file and list its differences from the version in force",
      "tanagerpin check-configuration next.json --against current.json",
    ]],
  });
  // Not required by the parser, whose exit code for a missing argument is that of an error found.
  file = Option.String({ required: false, name: "FILE" });
  against = Option.String("--against", { description: "The file of the version in force" });
  isJson = Option.Boolean("--json", false, { description: "Print JSON" });

  override async execute(): Promise<number> {
    if (this.file === undefined) {
      this.context.stderr.write("expected the file of a configuration\n");
      return ExitCode.InvalidUsage;
    }
    let value: Buffer;
    let inForce: Buffer | undefined;
    try {
      value = await readFile(this.file);
      inForce = this.against === undefined ? undefined : await readFile(this.against);
    } catch (error) {
      this.context.stderr.write(getErrorMessage(error) + "\n");
      return ExitCode.InvalidUsage;
    }
    const findings = checkConfiguration(value, inForce);
    const format = this.isJson ? formatFindingsAsJson : formatFindingsAsText;
    this.context.stdout.write(format(findings));
    return hasErrors(findings) ? ExitCode.Refused : ExitCode.Done;
  }
}
