/** The commands that show the state of an entry host and the record log: `state` and `record list`. */

import { Command, Option } from "clipanion";
import type { LogRecord } from "../records/record.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand } from "./operator_command.ts";

/** Dumps the state of an entry host's process. */
export class StateCommand extends OperatorCommand {
  static override paths = [["state"]];
  static override usage = Command.Usage({ description: "Dump the state of an entry host" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    this.context.stdout.write(JSON.stringify(await client.getView("/state"), null, 2) + "\n");
    return ExitCode.Done;
  }
}

/** Lists records of the record log. */
export class RecordListCommand extends OperatorCommand {
  static override paths = [["record", "list"]];
  static override usage = Command.Usage({ description: "List the records of the record log" });
  from = Option.String("--from", "0", { description: "The first offset" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const records = await client.getView(`/records?from=${Number(this.from)}`) as LogRecord[];
    const rows = records.map((record) => ({
      offset: record.offset,
      kind: record.kind,
      author: record.author,
      body: JSON.stringify(record.body),
    }));
    this.print(["offset", "kind", "author", "body"], rows);
    return ExitCode.Done;
  }
}
