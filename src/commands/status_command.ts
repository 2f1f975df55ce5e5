/** The command that shows the status of the fleet: `status`. */

import { Command, Option } from "clipanion";
import type { MemberData } from "../contracts/member_data.ts";
import type { EntryStatus } from "../entry/entry_status.ts";
import { ExitCode } from "./exit_code.ts";
import { OperatorClient } from "./operator_client.ts";
import { OperatorCommand } from "./operator_command.ts";
import { formatTable, type Row } from "./table.ts";

/** The interval at which `--watch` refreshes the status. */
const WATCH_MILLISECONDS = 2_000;

/** Shows zones, pools against budgets, teams against limits, maintenance and entry hosts. */
export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({ description: "Show the status of the fleet" });
  isWatching = Option.Boolean("--watch", false, { description: "Refresh the status every 2 s" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    do {
      const statuses = await this.#collect(client);
      const text = this.isJson ? JSON.stringify(statuses, null, 2) : formatStatus(statuses);
      this.context.stdout.write((this.isWatching ? "\x1b[2J\x1b[H" : "") + text + "\n");
      if (this.isWatching) await new Promise((resolve) => setTimeout(resolve, WATCH_MILLISECONDS));
    } while (this.isWatching);
    return ExitCode.Done;
  }

  /** Gets the status of the queried entry host first, then those of all others that respond. */
  async #collect(client: OperatorClient): Promise<EntryStatus[]> {
    const own = await client.getView("/status") as EntryStatus;
    const { members } = await client.getView("/fleet") as { members: [string, MemberData][] };
    const others = members.filter(([memberId]) => memberId !== own.self.memberId);
    const responses = await Promise.all(others.map(([, member]) =>
      OperatorClient.create({
        address: member.operatorAddress,
        operatorKey: this.getOperatorKey(),
      }).getView("/status").catch(() => undefined)
    ));
    return [own, ...responses.filter((status) => status !== undefined) as EntryStatus[]];
  }
}

/** Formats statuses as tables; the first status is that of the queried entry host. */
export function formatStatus(statuses: readonly EntryStatus[]): string {
  const first = statuses[0]!;
  const sections: [string, readonly string[], readonly Row[]][] = [
    ["Entry hosts", ["entryHost", "standing", "offset", "silentMilliseconds"], listHosts(statuses)],
    ["Zones", ["zone", "state", "hosts"], first.zones],
    ["Pools", ["pool", "hosts", "away", "mostAway"], first.pools],
    ["Teams", ["team", "running", "upperLimit"], sumTeams(statuses)],
    ["Maintenance", ["maintenance", "state"], first.maintenances as unknown as Row[]],
  ];
  return sections.filter(([, , rows]) => rows.length > 0)
    .map(([title, columns, rows]) => `${title}\n${formatTable(columns, rows)}`)
    .join("\n");
}

function listHosts(statuses: readonly EntryStatus[]): Row[] {
  const standings = new Map(statuses.map(({ self }) => [self.memberId, self.standing]));
  return statuses[0]!.entryHosts.map((member) => ({
    entryHost: member.entryHost,
    standing: standings.get(member.memberId) ?? "no answer",
    offset: member.offset,
    silentMilliseconds: member.silentMilliseconds,
  }));
}

function sumTeams(statuses: readonly EntryStatus[]): Row[] {
  return statuses[0]!.teams.map(({ team, upperLimit }) => {
    const running = statuses.map((status) =>
      status.teams.find((other) => other.team === team)?.running ?? 0
    );
    return { team, upperLimit, running: running.reduce((sum, count) => sum + count, 0) };
  });
}
