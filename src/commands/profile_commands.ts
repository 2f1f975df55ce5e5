/** The commands for profiles: `profile check|publish|list` and `service pick`. */

import { readFile } from "node:fs/promises";
import { Option } from "clipanion";
import { z } from "zod";
import { type ProfileData, profileSchema } from "../profiles/profile_data.ts";
import { ProfileRecordKind } from "../profiles/profile_records.ts";
import { getErrorMessage } from "../errors/mod.ts";
import { Command } from "clipanion";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand, PublishCommand } from "./operator_command.ts";

async function readProfile(file: string): Promise<ProfileData | string> {
  try {
    const parsed = profileSchema.safeParse(JSON.parse(await readFile(file, "utf8")));
    return parsed.success ? parsed.data : z.prettifyError(parsed.error);
  } catch (error) {
    return getErrorMessage(error);
  }
}

/** Checks a profile without publishing it. */
export class ProfileCheckCommand extends Command {
  static override paths = [["profile", "check"]];
  static override usage = Command.Usage({ description: "Check the file of a profile" });
  file = Option.String();

  override async execute(): Promise<number> {
    const profile = await readProfile(this.file);
    if (typeof profile === "string") {
      this.context.stderr.write(profile + "\n");
      return ExitCode.Refused;
    }
    this.context.stdout.write(`profile ${profile.profile} is valid\n`);
    return ExitCode.Done;
  }
}

/** Publishes a profile. */
export class ProfilePublishCommand extends PublishCommand {
  static override paths = [["profile", "publish"]];
  static override usage = Command.Usage({ description: "Publish a profile" });
  file = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const profile = await readProfile(this.file);
    if (typeof profile !== "string") {
      return await this.publish(client, ProfileRecordKind.Published, profile);
    }
    this.context.stderr.write(profile + "\n");
    return ExitCode.Refused;
  }
}

/** Lists the published profiles. */
export class ProfileListCommand extends OperatorCommand {
  static override paths = [["profile", "list"]];
  static override usage = Command.Usage({ description: "List the published profiles" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { profiles } = await client.getView("/fleet") as { profiles: [string, ProfileData][] };
    const rows = profiles.map(([profile, data]) => ({
      profile,
      teams: data.teams.map((team) => `${team.team}:${team.share}/${team.upperLimit}`)
        .join(" "),
      isOpenQueue: data.isOpenQueue,
    }));
    this.print(["profile", "isOpenQueue", "teams"], rows);
    return ExitCode.Done;
  }
}

/** Sets the profile of a service. */
export class ServicePickCommand extends PublishCommand {
  static override paths = [["service", "pick"]];
  static override usage = Command.Usage({ description: "Set the profile of a service" });
  service = Option.String();
  profile = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { service, profile } = this;
    return await this.publish(client, ProfileRecordKind.Picked, { service, profile });
  }
}
