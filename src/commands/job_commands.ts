/** The commands for jobs and workers: `job submit|status|cancel|list` and `worker list|return`. */

import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { JobData, WorkerLoadData } from "../jobs/job_data.ts";
import type { JobView } from "../jobs/job_intake_messages.ts";
import { JobRecordKind } from "../jobs/job_record_data.ts";
import { Outcome } from "../requests/refusal.ts";
import { ExitCode } from "./exit_code.ts";
import { JobClient, type JobClientResponse } from "./job_client.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand, PublishCommand } from "./operator_command.ts";
import { formatTable } from "./table.ts";

/** The base of the commands for teams, with the address of an entry host and the team's key. */
abstract class JobCommand extends Command {
  callerAddress = Option.String("--caller-address", {
    description: "The IP address and port of an entry host's caller listener",
  });
  key = Option.String("--key", { description: "The team's key" });
  isJson = Option.Boolean("--json", false, { description: "Print JSON" });

  /** Runs the command and returns the exit code. */
  protected abstract run(client: JobClient): Promise<ExitCode>;

  override async execute(): Promise<number> {
    const address = this.callerAddress ?? process.env["TANAGERPIN_CALLER_ADDRESS"];
    const key = this.key ?? process.env["TANAGERPIN_KEY"];
    if (address === undefined) {
      this.context.stderr.write("expected --caller-address or TANAGERPIN_CALLER_ADDRESS\n");
      return ExitCode.InvalidUsage;
    }
    try {
      return await this.run(JobClient.create({ address, key }));
    } catch (error) {
      if (!(error instanceof StepError)) throw error;
      this.context.stderr.write(`${error.step} at ${error.peer}: ${error.message}\n`);
      return ExitCode.Unknown;
    }
  }

  /** Prints an entry host's response and returns the exit code. */
  protected report(response: JobClientResponse): ExitCode {
    if (this.isJson) this.context.stdout.write(JSON.stringify(response) + "\n");
    else if (response.outcome === "accepted") this.context.stdout.write(formatJob(response.job));
    else this.context.stderr.write(`${response.problem.title}: ${response.problem.detail}\n`);
    if (response.outcome === "accepted") return ExitCode.Done;
    return response.problem.outcome === Outcome.Unknown ? ExitCode.Unknown : ExitCode.Refused;
  }
}

/** Submits a job that a file describes. */
export class JobSubmitCommand extends JobCommand {
  static override paths = [["job", "submit"]];
  static override usage = Command.Usage({
    description: "Submit the job that a JSON file describes; submitting it again has no effect",
  });
  queue = Option.String();
  file = Option.String();

  protected override async run(client: JobClient): Promise<ExitCode> {
    let description: unknown;
    try {
      description = JSON.parse(await readFile(this.file, "utf8"));
    } catch (error) {
      this.context.stderr.write(`${this.file}: ${getErrorMessage(error)}\n`);
      return ExitCode.InvalidUsage;
    }
    return this.report(await client.submit(this.queue, description));
  }
}

/** Shows a job. */
export class JobStatusCommand extends JobCommand {
  static override paths = [["job", "status"]];
  static override usage = Command.Usage({ description: "Show a job and its tasks" });
  jobId = Option.String();

  protected override async run(client: JobClient): Promise<ExitCode> {
    return this.report(await client.get(this.jobId));
  }
}

/** Cancels jobs. */
export class JobCancelCommand extends JobCommand {
  static override paths = [["job", "cancel"]];
  static override usage = Command.Usage({ description: "Cancel jobs" });
  jobIds = Option.Rest({ required: 1 });

  protected override async run(client: JobClient): Promise<ExitCode> {
    const responses = await Promise.all(this.jobIds.map((jobId) => client.cancel(jobId)));
    const codes = responses.map((response) => this.report(response));
    return codes.find((code) => code !== ExitCode.Done) ?? ExitCode.Done;
  }
}

/** Lists the active jobs of all teams, for operators. */
export class JobListCommand extends OperatorCommand {
  static override paths = [["job", "list"]];
  static override usage = Command.Usage({ description: "List the active jobs" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { jobs } = await client.getView("/fleet") as { jobs: [string, JobData][] };
    const rows = jobs.map(([job, { queue, isUrgent, tasks, stopReason }]) => ({
      job,
      queue,
      urgent: isUrgent ? "yes" : "no",
      tasks: tasks.length,
      running: tasks.filter(({ running }) => running !== undefined).length,
      stopping: stopReason,
    }));
    this.print(["job", "queue", "urgent", "tasks", "running", "stopping"], rows);
    return ExitCode.Done;
  }
}

/** Lists the workers that have tasks or failed jobs, for operators. */
export class WorkerListCommand extends OperatorCommand {
  static override paths = [["worker", "list"]];
  static override usage = Command.Usage({
    description: "List the workers that have tasks or failed jobs",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { workerLoads } = await client.getView("/fleet") as {
      workerLoads: [string, WorkerLoadData][];
    };
    const rows = workerLoads.map(([worker, load]) => ({
      worker,
      tasks: load.taskCount,
      ...load.reserved,
      failedJobs: load.failedJobs.join(" "),
      state: load.isSetAside ? "set aside" : "open",
    }));
    const columns = ["worker", "tasks", "cores", "memoryGigabytes", "accelerators", "failedJobs"];
    this.print([...columns, "state"], rows);
    return ExitCode.Done;
  }
}

/** Returns to service a worker that was set aside. */
export class WorkerReturnCommand extends PublishCommand {
  static override paths = [["worker", "return"]];
  static override usage = Command.Usage({
    description: "Return to service a worker that was set aside",
  });
  worker = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    return await this.publish(client, JobRecordKind.WorkerReturned, { worker: this.worker });
  }
}

function formatJob(job: JobView): string {
  const reason = job.stopReason === undefined ? "" : ` (${job.stopReason})`;
  const rows = job.tasks.map(({ state, attempt, worker }, task) => ({
    task,
    state,
    attempt,
    worker,
  }));
  const table = formatTable(["task", "state", "attempt", "worker"], rows);
  return `${job.jobId} on ${job.queue}: ${job.state}${reason}\n${table}`;
}
