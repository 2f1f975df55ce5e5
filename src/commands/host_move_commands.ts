/** The commands that drain, return, move and dismiss hosts: `host drain|return|move|dismiss`. */

import { Command, Option } from "clipanion";
import { type HostData, HostState } from "../machines/host_data.ts";
import { HostRecordKind } from "../machines/host_records.ts";
import { type ListedHosts, LostHostIndex } from "../pools/lost_hosts.ts";
import { PoolMembershipRecordKind } from "../pools/pool_membership_records.ts";
import { Fleet, type FleetData } from "../records/fleet.ts";
import type { ListedHost } from "../records/platform_messages.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { PublishCommand } from "./operator_command.ts";

/** How long `host move --wait` waits until the host serves its new pool. */
const MOVE_TIMEOUT_MILLISECONDS = 600_000;

/** The interval at which the state of a moving host is polled. */
const MOVE_POLL_MILLISECONDS = 200;

/** A command about one host. */
abstract class HostCommand extends PublishCommand {
  host = Option.String();

  /** Gets the fleet as the entry host has it. */
  protected async getFleet(client: OperatorClient): Promise<Fleet> {
    const tables = await client.getView("/fleet") as FleetData["tables"];
    return Fleet.createFromData({ offset: 0, tables: { ...tables, recordIds: [] } });
  }

  /** Gets the platform's list of hosts; no host is drained if it is unavailable. */
  protected async getListedHosts(client: OperatorClient): Promise<ListedHosts> {
    const hosts = await client.getView("/listed-hosts") as ListedHost[];
    return new Map(hosts.map((host) => [host.host, host]));
  }

  /** Prints that no host has this name. */
  protected reportUnknownHost(): ExitCode {
    this.context.stderr.write(`no host named ${this.host}; tanagerpin host list shows all\n`);
    return ExitCode.Refused;
  }

  /** Publishes the drain of a host, with the hosts that the platform's list shows as lost. */
  protected async drain(
    client: OperatorClient,
    fleet: Fleet,
    host: HostData,
    destination?: string,
  ): Promise<ExitCode> {
    const lost = LostHostIndex.create(fleet, await this.getListedHosts(client)).getNamesForHost(
      host,
    );
    const body = { host: host.host, pool: host.pool, lost, destination };
    return await this.publish(client, PoolMembershipRecordKind.Drained, body);
  }
}

/** Drains a host. */
export class HostDrainCommand extends HostCommand {
  static override paths = [["host", "drain"]];
  static override usage = Command.Usage({
    description: "Drain a host: it gets no new work; refused if a budget has no room",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const fleet = await this.getFleet(client);
    const host = fleet.getHost(this.host)?.getData();
    if (host === undefined) return this.reportUnknownHost();
    return await this.drain(client, fleet, host);
  }
}

/** Returns a drained host to service. */
export class HostReturnCommand extends HostCommand {
  static override paths = [["host", "return"]];
  static override usage = Command.Usage({ description: "Return a drained host to service" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const host = (await this.getFleet(client)).getHost(this.host)?.getData();
    if (host === undefined) return this.reportUnknownHost();
    const isMaintained = host.drain?.maintenance !== undefined;
    const boots = isMaintained
      ? (await this.getListedHosts(client)).get(this.host)?.boots
      : undefined;
    const body = { host: host.host, pool: host.pool, boots };
    return await this.publish(client, PoolMembershipRecordKind.Returned, body);
  }
}

/** Moves a host to another pool. */
export class HostMoveCommand extends HostCommand {
  static override paths = [["host", "move"]];
  static override usage = Command.Usage({
    description: "Move a host: it is drained, and an entry host moves it once nothing runs on it",
  });
  pool = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const fleet = await this.getFleet(client);
    const host = fleet.getHost(this.host)?.getData();
    if (host === undefined) return this.reportUnknownHost();
    if (host.state !== HostState.Serving) return await this.#moveDrained(client, host);
    const code = await this.drain(client, fleet, host, this.pool);
    if (code !== ExitCode.Done || !this.isWaiting) return code;
    return await this.#waitForMove(client);
  }

  async #moveDrained(client: OperatorClient, host: HostData): Promise<ExitCode> {
    const body = { host: host.host, from: host.pool, to: this.pool };
    const code = await this.publish(client, PoolMembershipRecordKind.Moved, body);
    if (code !== ExitCode.Done) return code;
    const returned = { host: host.host, pool: this.pool };
    return await this.publish(client, PoolMembershipRecordKind.Returned, returned);
  }

  async #waitForMove(client: OperatorClient): Promise<ExitCode> {
    const deadline = performance.now() + MOVE_TIMEOUT_MILLISECONDS;
    while (performance.now() < deadline) {
      const host = (await this.getFleet(client)).getHost(this.host)?.getData();
      if (host?.pool === this.pool && host.state === HostState.Serving) {
        this.context.stdout.write(`${this.host} serves pool ${this.pool}\n`);
        return ExitCode.Done;
      }
      await new Promise((resolve) => setTimeout(resolve, MOVE_POLL_MILLISECONDS));
    }
    this.context.stderr.write(`${this.host} is still drained; tanagerpin host list shows it\n`);
    return ExitCode.Unknown;
  }
}

/** Removes a drained host from the fleet permanently. */
export class HostDismissCommand extends HostCommand {
  static override paths = [["host", "dismiss"]];
  static override usage = Command.Usage({
    description: "Remove a drained host from the fleet, as one that does not return",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    return await this.publish(client, HostRecordKind.Dismissed, { host: this.host });
  }
}
