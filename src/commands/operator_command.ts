/** The bases of the commands that send requests to an entry host's operator listener. */

import { Command, Option } from "clipanion";
import { StepError } from "../errors/mod.ts";
import { getFirstOutcome, VerdictOutcome } from "../records/verdict.ts";
import { ExitCode } from "./exit_code.ts";
import { OperatorClient, type PublicationResponse } from "./operator_client.ts";
import { formatTable, type Row } from "./table.ts";

/** How long `--wait` waits until every entry host has applied the record. */
const ROLL_OUT_TIMEOUT_MILLISECONDS = 30_000;

/** The base of the commands for operators, with an entry host's address and the operators' key. */
export abstract class OperatorCommand extends Command {
  operatorAddress = Option.String("--operator-address", {
    description: "The IP address and port of an entry host's operator listener",
  });
  operatorKey = Option.String("--operator-key", { description: "The operators' key" });
  isJson = Option.Boolean("--json", false, { description: "Print JSON" });

  /** Runs the command and returns the exit code. */
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

  /** Gets the operators' key, or an empty string if none was given. */
  protected getOperatorKey(): string {
    return this.operatorKey ?? process.env["TANAGERPIN_OPERATOR_KEY"] ?? "";
  }

  /** Prints rows as a table or as JSON. */
  protected print(columns: readonly string[], rows: readonly Row[]): void {
    const text = this.isJson ? JSON.stringify(rows, null, 2) + "\n" : formatTable(columns, rows);
    this.context.stdout.write(text);
  }
}

/** The base of the commands that publish a record. */
export abstract class PublishCommand extends OperatorCommand {
  isWaiting = Option.Boolean("--wait", false, {
    description: "Wait until every entry host has applied the record",
  });

  /** Publishes a record and prints the result. */
  protected async publish(
    client: OperatorClient,
    kind: string,
    body: unknown,
  ): Promise<ExitCode> {
    const response = await client.publish(kind, body);
    this.#report(response);
    if (response.outcome === "unknown") return ExitCode.Unknown;
    if (getFirstOutcome(response.verdict) !== VerdictOutcome.Accepted) return ExitCode.Refused;
    if (this.isWaiting) await this.#waitForRollOut(client, response.offset);
    return ExitCode.Done;
  }

  #report(response: PublicationResponse): void {
    if (this.isJson) {
      this.context.stdout.write(JSON.stringify(response) + "\n");
      return;
    }
    const line = response.outcome === "unknown"
      ? `pending: ${response.reason}; the record ${response.id} may still be accepted`
      : `${response.verdict.outcome} at offset ${response.offset}` +
        (response.verdict.reason === "" ? "" : `: ${response.verdict.reason}`);
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
