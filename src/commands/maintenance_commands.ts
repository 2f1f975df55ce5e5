/** The commands about maintenance: `maintenance start|pause|resume|stop|status`. */

import { Command, Option } from "clipanion";
import { MaintenanceScopeKind } from "../pools/maintenance_data.ts";
import type { MaintenanceProgress } from "../pools/maintenance_progress.ts";
import { MaintenanceRecordKind } from "../pools/maintenance_records.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand, PublishCommand } from "./operator_command.ts";

/** Starts a maintenance. */
export class MaintenanceStartCommand extends PublishCommand {
  static override paths = [["maintenance", "start"]];
  static override usage = Command.Usage({
    description: "Reboot every host of a scope once, within the budgets",
    examples: [
      ["A pool", "tanagerpin maintenance start december pool tugdesk"],
      ["A zone", "tanagerpin maintenance start december zone zululand-a"],
      ["A rack", "tanagerpin maintenance start december rack zululand-a/1"],
      ["All hosts, 10 of which may fail", "tanagerpin maintenance start y all --most-missing 10"],
    ],
  });
  maintenance = Option.String();
  kind = Option.String();
  scopeName = Option.String({ required: false });
  mostMissing = Option.String("--most-missing", "0", {
    description: "How many hosts may fail to come back before it pauses itself",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const isAll = this.kind === MaintenanceScopeKind.All;
    const kinds: string[] = Object.values(MaintenanceScopeKind);
    if (!kinds.includes(this.kind) || isAll !== (this.scopeName === undefined)) {
      this.context.stderr.write("expected all, or pool, zone or rack with a name\n");
      return ExitCode.InvalidUsage;
    }
    return await this.publish(client, MaintenanceRecordKind.Started, {
      maintenance: this.maintenance,
      scope: { kind: this.kind, name: this.scopeName ?? "" },
      mostMissing: Number(this.mostMissing),
    });
  }
}

/** A command that changes the state of a maintenance. */
abstract class MaintenanceChangeCommand extends PublishCommand {
  maintenance = Option.String();
  reason = Option.String("--reason", "", { description: "Why, for the other operators" });

  /** The kind of the record. */
  protected abstract readonly recordKind: MaintenanceRecordKind;

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { maintenance, reason } = this;
    return await this.publish(client, this.recordKind, { maintenance, reason });
  }
}

/** Pauses a maintenance: it drains and reboots nothing more until it is resumed. */
export class MaintenancePauseCommand extends MaintenanceChangeCommand {
  static override paths = [["maintenance", "pause"]];
  static override usage = Command.Usage({
    description: "Pause a maintenance: no host is drained or rebooted until it is resumed",
  });
  protected override readonly recordKind = MaintenanceRecordKind.Paused;
}

/** Resumes a paused maintenance; hosts that are missing by then no longer pause it. */
export class MaintenanceResumeCommand extends MaintenanceChangeCommand {
  static override paths = [["maintenance", "resume"]];
  static override usage = Command.Usage({ description: "Resume a paused maintenance" });
  protected override readonly recordKind = MaintenanceRecordKind.Resumed;
}

/** Stops a maintenance for good. */
export class MaintenanceStopCommand extends MaintenanceChangeCommand {
  static override paths = [["maintenance", "stop"]];
  static override usage = Command.Usage({
    description: "Stop a maintenance: hosts that did not reboot return after half a minute",
  });
  protected override readonly recordKind = MaintenanceRecordKind.Stopped;
}

/** Shows how far maintenance is. */
export class MaintenanceStatusCommand extends OperatorCommand {
  static override paths = [["maintenance", "status"]];
  static override usage = Command.Usage({
    description: "Show the progress of maintenance and when it is expected to end",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const progress = await client.getView("/maintenance") as MaintenanceProgress[];
    const columns = ["maintenance", "scope", "state", "hosts", "done", "away", "remainingSeconds"];
    this.print([...columns, "reason"], progress.map((row) => ({ ...row })));
    return ExitCode.Done;
  }
}
