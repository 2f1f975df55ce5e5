/** All messages between entry hosts, and their schemas. */

import { z } from "zod";
import type { LoanPeerMessage } from "../contracts/loans/loan_messages.ts";
import {
  MEMBER_PEER_MESSAGE_SCHEMAS,
  type MemberPeerMessage,
} from "../contracts/member_messages.ts";
import {
  CLAIM_PEER_MESSAGE_SCHEMAS,
  type ClaimPeerMessage,
} from "../requests/claims/claim_messages.ts";
import { POOL_PEER_MESSAGE_SCHEMAS, type PoolPeerMessage } from "../pools/pool_messages.ts";
import { RECORD_PEER_MESSAGE_SCHEMAS, type RecordPeerMessage } from "../records/record_messages.ts";
import { SHARE_PEER_MESSAGE_SCHEMAS, type SharePeerMessage } from "../teams/share_messages.ts";

/** The first message on a connection, which identifies its sender and its receiver. */
export interface Hello {
  kind: "hello";
  /** The identity of the process that opened the connection. */
  memberId: string;
  /** The identity of the process to which the connection was opened. */
  to: string;
}

/** A message between entry hosts. */
export type PeerMessage =
  | Hello
  | RecordPeerMessage
  | MemberPeerMessage
  | ClaimPeerMessage
  | PoolPeerMessage
  | LoanPeerMessage
  | SharePeerMessage;

/** The schema of messages between entry hosts. */
export const peerMessageSchema: z.ZodType<PeerMessage> = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("hello"),
    memberId: z.string().min(1).max(128),
    to: z.string().min(1).max(128),
  }),
  ...RECORD_PEER_MESSAGE_SCHEMAS,
  ...MEMBER_PEER_MESSAGE_SCHEMAS,
  ...SHARE_PEER_MESSAGE_SCHEMAS,
  ...CLAIM_PEER_MESSAGE_SCHEMAS,
  ...POOL_PEER_MESSAGE_SCHEMAS,
]) as unknown as z.ZodType<PeerMessage>;
