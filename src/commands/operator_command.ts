/** The base of the commands that talk to an entry host. */

import { Command, Option } from "clipanion";
import { StepError } from "../errors/mod.ts";
import { getFirstOutcome, VerdictOutcome } from "../records/verdict.ts";
import { ExitCode } from "./exit_code.ts";
import { OperatorClient, type PublicationResponse } from "./operator_client.ts";
import { formatTable, type Row } from "./table.ts";

/** How long `--wait` waits for every entry host. */
const ROLL_OUT_TIMEOUT_MILLISECONDS = 30_000;

/** A command for operators, with the address and key of an entry host. */
export abstract class OperatorCommand extends Command {
  operatorAddress = Option.String("--operator-address", {
    description: "The IP number and port of an entry host's operator listener",
  });
  operatorKey = Option.String("--operator-key", { description: "The operators' key" });
  isJson = Option.Boolean("--json", false, { description: "Print JSON for programs" });

  /** Does the work, and gets the exit code. */
  protected abstract run(client: OperatorClient): Promise<ExitCode>;

  override async execute(): Promise<number> {
    const address = this.operatorAddress ?? process.env["TANAGERPIN_OPERATOR_ADDRESS"];
    const operatorKey = this.getOperatorKey();
    if (address === undefined || operatorKey === "") {
      this.context.stderr.write(
        "expected --operator-address and --operator-key, or TANAGERPIN_OPERATOR_ADDRESS and " +
          "TANAGERPIN_OPERATOR_KEY\n",
      );
      return ExitCode.InvalidUsage;
    }
    try {
      return await this.run(OperatorClient.create({ address, operatorKey }));
    } catch (error) {
      if (!(error instanceof StepError)) throw error;
      this.context.stderr.write(`${error.step} at ${error.peer}: ${error.message}\n`);
      return ExitCode.Unknown;
    }
  }

  /** Gets the operators' key, or an empty text if none was given. */
  protected getOperatorKey(): string {
    return this.operatorKey ?? process.env["TANAGERPIN_OPERATOR_KEY"] ?? "";
  }

  /** Prints rows as a table or as JSON. */
  protected print(columns: readonly string[], rows: readonly Row[]): void {
    const text = this.isJson ? JSON.stringify(rows, null, 2) + "\n" : formatTable(columns, rows);
    this.context.stdout.write(text);
  }
}

/** A command that publishes a record. */
export abstract class PublishCommand extends OperatorCommand {
  isWaiting = Option.Boolean("--wait", false, {
    description: "Wait until every entry host has applied the record",
  });

  /** Publishes a record and prints what became of it. */
  protected async publish(
    client: OperatorClient,
    kind: string,
    body: unknown,
  ): Promise<ExitCode> {
    const answer = await client.publish(kind, body);
    this.#report(answer);
    if (answer.outcome === "unknown") return ExitCode.Unknown;
    if (getFirstOutcome(answer.verdict) !== VerdictOutcome.Accepted) return ExitCode.Refused;
    if (this.isWaiting) await this.#waitForRollOut(client, answer.offset);
    return ExitCode.Done;
  }

  #report(answer: PublicationResponse): void {
    if (this.isJson) {
      this.context.stdout.write(JSON.stringify(answer) + "\n");
      return;
    }
    const line = answer.outcome === "unknown"
      ? `pending: ${answer.reason}; the record ${answer.id} may still be accepted`
      : `${answer.verdict.outcome} at offset ${answer.offset}` +
        (answer.verdict.reason === "" ? "" : `: ${answer.verdict.reason}`);
    this.context.stdout.write(line + "\n");
  }

  async #waitForRollOut(client: OperatorClient, offset: number): Promise<void> {
    const progress = await client.waitForRollOut(offset, ROLL_OUT_TIMEOUT_MILLISECONDS);
    const rows = progress.map((member) => ({
      entryHost: member.entryHost,
      state: member.offset >= offset ? "in force" : "pending",
    }));
    this.print(["entryHost", "state"], rows);
  }
}
