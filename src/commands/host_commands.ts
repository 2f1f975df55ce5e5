/** The commands that enrol and list hosts: `host enrol|list`. */

import { Command, Option } from "clipanion";
import type { HostData } from "../machines/host_data.ts";
import { HostRecordKind } from "../machines/host_records.ts";
import type { ListedHost } from "../records/platform_messages.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand, PublishCommand } from "./operator_command.ts";

/** Enrols hosts from the platform's list in their pools. */
export class HostEnrolCommand extends PublishCommand {
  static override paths = [["host", "enrol"]];
  static override usage = Command.Usage({
    description: "Enrol hosts from the platform's list; without names, all that are not enrolled",
  });
  names = Option.Rest();
  pool = Option.String("--pool", { description: "The pool, instead of the one the list suggests" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const listed = await client.getView("/listed-hosts") as ListedHost[];
    const { hosts } = await client.getView("/fleet") as { hosts: [string, HostData][] };
    const enrolled = new Set(hosts.map(([name]) => name));
    const isSelected = (host: ListedHost) =>
      this.names.length > 0 ? this.names.includes(host.host) : !enrolled.has(host.host);
    let exitCode: ExitCode = ExitCode.Done;
    for (const { state: _state, ...host } of listed.filter(isSelected)) {
      const body = { ...host, pool: this.pool ?? host.pool };
      this.context.stdout.write(`${host.host}: `);
      const code = await this.publish(client, HostRecordKind.Enrolled, body);
      if (code !== ExitCode.Done) exitCode = code;
    }
    return exitCode;
  }
}

/** Lists the hosts. */
export class HostListCommand extends OperatorCommand {
  static override paths = [["host", "list"]];
  static override usage = Command.Usage({ description: "List the hosts" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { hosts } = await client.getView("/fleet") as { hosts: [string, HostData][] };
    const rows = hosts.map(([host, { drain: _drain, ...data }]) => ({ ...data, host }));
    this.print(["host", "kind", "pool", "zone", "rack", "state", "address"], rows);
    return ExitCode.Done;
  }
}
