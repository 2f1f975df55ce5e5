/** The messages about members between tasks and between peers. */

import type { ListResult } from "../records/platform_messages.ts";
import type { RecordEvent } from "../records/record_messages.ts";
import type { Reply } from "../tasks/mod.ts";
import { type Heartbeat, heartbeatSchema } from "./heartbeat.ts";

/** The schemas of the messages about members between peers. */
export const MEMBER_PEER_MESSAGE_SCHEMAS = [heartbeatSchema] as const;

/** A message about members between peers. */
export type MemberPeerMessage = Heartbeat;

/** How far a member has applied the log, from its last heartbeat. */
export interface MemberProgress {
  /** The member id of the process. */
  memberId: string;
  /** The name of the entry host. */
  entryHost: string;
  /** The offset of the newest record that it has applied. */
  offset: number;
  /** The milliseconds since its last heartbeat. */
  silentMilliseconds: number;
}

/** The messages that the member task handles. */
export type MemberMessage =
  | RecordEvent
  | { kind: "heartbeat-tick" }
  | { kind: "list-tick" }
  | { kind: "listed"; result: ListResult }
  | { kind: "peer"; from: string; message: MemberPeerMessage }
  | { kind: "leave"; reply: Reply<void> }
  | { kind: "get-progress"; reply: Reply<MemberProgress[]> };
