/** The commands for keys: `key grant|withdraw|list`. */

import { randomBytes, randomUUID } from "node:crypto";
import { Command, Option } from "clipanion";
import type { KeyData } from "../teams/key_data.ts";
import { KeyRecordKind } from "../teams/key_records.ts";
import { formatPresentedKey, hashSecret, SECRET_BYTES } from "../teams/key_secret.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand, PublishCommand } from "./operator_command.ts";

/** Grants a key to a team and prints it; only the hash of its secret is stored. */
export class KeyGrantCommand extends PublishCommand {
  static override paths = [["key", "grant"]];
  static override usage = Command.Usage({ description: "Grant a key to a team" });
  team = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const keyId = `${this.team}-${randomUUID().slice(0, 8)}`;
    const secret = randomBytes(SECRET_BYTES).toString("base64url");
    const body = { keyId, team: this.team, secretHash: hashSecret(secret) };
    const code = await this.publish(client, KeyRecordKind.Granted, body);
    if (code !== ExitCode.Refused) {
      this.context.stdout.write(`key ${formatPresentedKey({ keyId, secret })}\n`);
    }
    return code;
  }
}

/** Withdraws a key. */
export class KeyWithdrawCommand extends PublishCommand {
  static override paths = [["key", "withdraw"]];
  static override usage = Command.Usage({ description: "Withdraw a key by its id" });
  keyId = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const keyId = this.keyId.split(".")[0];
    return await this.publish(client, KeyRecordKind.Withdrawn, { keyId });
  }
}

/** Lists the keys. */
export class KeyListCommand extends OperatorCommand {
  static override paths = [["key", "list"]];
  static override usage = Command.Usage({ description: "List the keys" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { keys } = await client.getView("/fleet") as { keys: [string, KeyData][] };
    const rows = keys.map(([keyId, key]) => ({
      keyId,
      team: key.team,
      state: key.isWithdrawn ? "withdrawn" : "granted",
    }));
    this.print(["keyId", "team", "state"], rows);
    return ExitCode.Done;
  }
}
