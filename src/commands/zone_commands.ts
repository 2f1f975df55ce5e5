/** The commands for availability zones: `zone out|in|list`. */

import { Command, Option } from "clipanion";
import type { ZoneData } from "../zones/zone_data.ts";
import { ZoneRecordKind } from "../zones/zone_records.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand, PublishCommand } from "./operator_command.ts";

/** Takes a zone out of service. */
export class ZoneOutCommand extends PublishCommand {
  static override paths = [["zone", "out"]];
  static override usage = Command.Usage({
    description: "Take an availability zone out of service",
  });
  zone = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    return await this.publish(client, ZoneRecordKind.TakenOut, { zone: this.zone });
  }
}

/** Returns a zone to service. */
export class ZoneInCommand extends PublishCommand {
  static override paths = [["zone", "in"]];
  static override usage = Command.Usage({ description: "Return an availability zone to service" });
  zone = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    return await this.publish(client, ZoneRecordKind.Returned, { zone: this.zone });
  }
}

/** Lists the zones. */
export class ZoneListCommand extends OperatorCommand {
  static override paths = [["zone", "list"]];
  static override usage = Command.Usage({ description: "List the availability zones" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { zones } = await client.getView("/fleet") as { zones: [string, ZoneData][] };
    const rows = zones.map(([zone, data]) => ({ zone, state: data.isOut ? "out" : "in" }));
    this.print(["zone", "state"], rows);
    return ExitCode.Done;
  }
}
