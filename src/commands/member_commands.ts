/** The commands for members of the roster: `member list|end`. */

import { Command, Option } from "clipanion";
import type { MemberProgress } from "../contracts/member_messages.ts";
import type { RosterView } from "../contracts/roster_messages.ts";
import { RosterRecordKind } from "../contracts/roster_records.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { OperatorCommand, PublishCommand } from "./operator_command.ts";

/** The part of an entry host's state that describes the roster. */
interface MembersState {
  unheard: string[];
  roster: RosterView;
  members: MemberProgress[];
}

/** Lists the members and the processes that were removed from the roster. */
export class MemberListCommand extends OperatorCommand {
  static override paths = [["member", "list"]];
  static override usage = Command.Usage({
    description: "List the members of the roster, as one entry host sees them",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const state = await client.getView("/state") as { members: { state: MembersState } };
    const { unheard, roster, members } = state.members.state;
    const sorted = members.toSorted((a, b) => a.memberId < b.memberId ? -1 : 1);
    const present = sorted.map(({ memberId, entryHost, offset }) => {
      return {
        memberId,
        entryHost,
        state: unheard.includes(memberId) ? "unheard" : "heard",
        offset,
      };
    });
    const departed = roster.departing.map(({ memberId, entryHost, isInForce, removedAt }) => {
      const removalState = isInForce ? "removed" : "removed, not in force";
      return { memberId, entryHost, state: removalState, offset: removedAt };
    });
    this.print(["memberId", "entryHost", "state", "offset"], [...present, ...departed]);
    return ExitCode.Done;
  }
}

/** Publishes that a process has ended. */
export class MemberEndCommand extends PublishCommand {
  static override paths = [["member", "end"]];
  static override usage = Command.Usage({
    description: "State that a member's process has ended",
    details: "It is taken as proof: never use it for a process that may still run.",
  });
  memberId = Option.String();

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    return await this.publish(client, RosterRecordKind.Ended, { memberId: this.memberId });
  }
}
