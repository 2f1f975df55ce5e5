/** The command line, which registers every command. */

import { Builtins, Cli } from "clipanion";
import { BudgetListCommand, BudgetSetCommand } from "./budget_commands.ts";
import { CheckConfigurationCommand } from "./check_configuration_command.ts";
import { DemoCommand } from "./demo_command.ts";
import { EntryCommand } from "./entry_command.ts";
import { ExplainCommand } from "./explain_command.ts";
import { HostEnrolCommand, HostListCommand } from "./host_commands.ts";
import {
  HostDismissCommand,
  HostDrainCommand,
  HostMoveCommand,
  HostReturnCommand,
} from "./host_move_commands.ts";
import {
  JobCancelCommand,
  JobListCommand,
  JobStatusCommand,
  JobSubmitCommand,
  WorkerListCommand,
  WorkerReturnCommand,
} from "./job_commands.ts";
import { KeyGrantCommand, KeyListCommand, KeyWithdrawCommand } from "./key_commands.ts";
import { MemberEndCommand, MemberListCommand } from "./member_commands.ts";
import {
  MaintenancePauseCommand,
  MaintenanceResumeCommand,
  MaintenanceStartCommand,
  MaintenanceStatusCommand,
  MaintenanceStopCommand,
} from "./maintenance_commands.ts";
import {
  ProfileCheckCommand,
  ProfileListCommand,
  ProfilePublishCommand,
  ServicePickCommand,
} from "./profile_commands.ts";
import { ExecutorStandInCommand, PlatformStandInCommand } from "./stand_in_commands.ts";
import { RecordListCommand, StateCommand } from "./state_commands.ts";
import { WorkerStandInCommand } from "./worker_stand_in_command.ts";
import { StatusCommand } from "./status_command.ts";
import { ZoneInCommand, ZoneListCommand, ZoneOutCommand } from "./zone_commands.ts";

const COMMANDS = [
  BudgetListCommand,
  BudgetSetCommand,
  CheckConfigurationCommand,
  DemoCommand,
  EntryCommand,
  ExecutorStandInCommand,
  ExplainCommand,
  HostDismissCommand,
  HostDrainCommand,
  HostEnrolCommand,
  HostListCommand,
  HostMoveCommand,
  HostReturnCommand,
  JobCancelCommand,
  JobListCommand,
  JobStatusCommand,
  JobSubmitCommand,
  KeyGrantCommand,
  KeyListCommand,
  KeyWithdrawCommand,
  MaintenancePauseCommand,
  MaintenanceResumeCommand,
  MaintenanceStartCommand,
  MaintenanceStatusCommand,
  MaintenanceStopCommand,
  MemberEndCommand,
  MemberListCommand,
  PlatformStandInCommand,
  ProfileCheckCommand,
  ProfileListCommand,
  ProfilePublishCommand,
  RecordListCommand,
  ServicePickCommand,
  StateCommand,
  StatusCommand,
  WorkerListCommand,
  WorkerReturnCommand,
  WorkerStandInCommand,
  ZoneInCommand,
  ZoneListCommand,
  ZoneOutCommand,
  Builtins.HelpCommand,
];

/** Creates the command line. */
export function createCommandLine(): Cli {
  const cli = new Cli({ binaryLabel: "tanagerpin", binaryName: "tanagerpin" });
  for (const command of COMMANDS) cli.register(command);
  return cli;
}
