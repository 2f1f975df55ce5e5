/** The commands for disruption budgets: `budget set|list`. */

import { Command, Option } from "clipanion";
import type { BudgetData } from "../pools/budget_data.ts";
import { BudgetRecordKind } from "../pools/budget_records.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand, PublishCommand } from "./operator_command.ts";

/** Sets a budget. */
export class BudgetSetCommand extends PublishCommand {
  static override paths = [["budget", "set"]];
  static override usage = Command.Usage({
    description: "Limit how many hosts of a pool, zone or rack may be unavailable at once",
    examples: [
      ["Two hosts of a pool", "tanagerpin budget set pool tugdesk 2"],
      ["One host of every rack", "tanagerpin budget set rack '*' 1"],
    ],
  });
  scope = Option.String();
  name = Option.String();
  mostAway = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { scope, name } = this;
    const mostAway = Number(this.mostAway);
    return await this.publish(client, BudgetRecordKind.Set, { scope, name, mostAway });
  }
}

/** Lists the budgets that were set. */
export class BudgetListCommand extends OperatorCommand {
  static override paths = [["budget", "list"]];
  static override usage = Command.Usage({
    description: "List the budgets; a pool without one has 1, zones and racks have no limit",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { budgets } = await client.getView("/fleet") as { budgets: [string, BudgetData][] };
    this.print(["scope", "name", "mostAway"], budgets.map(([, budget]) => ({ ...budget })));
    return ExitCode.Done;
  }
}
