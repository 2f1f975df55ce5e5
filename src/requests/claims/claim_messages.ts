/** The messages about claims, between tasks and between peers. */

import { z } from "zod";
import type { StandingChanged } from "../../contracts/standing.ts";
import type { RecordEvent } from "../../records/record_messages.ts";
import type { Reply } from "../../tasks/mod.ts";
import type { CallerRequest, TargetAnswer } from "../exchange.ts";
import type { ClaimDecision, ClaimEnd } from "../request_progress.ts";
import { type Claim, ClaimState, Vote } from "./claim.ts";
import type { ClaimProposal } from "./claim_ledger.ts";
import type { ClaimGap } from "./hand_over_tracker.ts";

/** The most claims of one hand-over message. */
export const MAXIMUM_CLAIMS_PER_PAGE = 500;

/** The bytes of answers after which a hand-over message takes no more claims. */
export const ANSWER_BYTES_PER_PAGE = 256 * 1024;

/** Asks a holder for its vote. */
export interface ClaimAsked extends ClaimProposal {
  /** The kind of the message. */
  kind: "claim-asked";
  /** The name of the roster by which the holder was chosen. */
  rosterId: string;
}

/** The vote of a holder. */
export interface ClaimVoted {
  /** The kind of the message. */
  kind: "claim-voted";
  /** The attempt that asked. */
  owner: string;
  /** The vote. */
  vote: Vote;
  /** The answer, if the vote says that there is one. */
  answer?: TargetAnswer | undefined;
}

/** Tells a holder that the owner has run. */
export interface ClaimSettled extends ClaimProposal {
  /** The kind of the message. */
  kind: "claim-settled";
  /** The answer, unless it is too large to keep. */
  answer?: TargetAnswer | undefined;
}

/** Tells a holder that the owner has not run and never will. */
export interface ClaimReleased {
  /** The kind of the message. */
  kind: "claim-released";
  /** The hash of team, service and idempotency key. */
  key: string;
  /** The attempt that owned the claim. */
  owner: string;
}

/** Asks a member of an earlier roster for the claims that the asker holds from now on. */
export interface ClaimsWanted {
  /** The kind of the message. */
  kind: "claims-wanted";
  /** The name of the roster for which they are handed over. */
  rosterId: string;
  /** Whether the asker does not know the rosters before. */
  isWhole: boolean;
  /** The key after which the page begins. */
  after: string;
}

/** One page of a hand-over. */
export interface ClaimsHandedOver {
  /** The kind of the message. */
  kind: "claims-handed-over";
  /** The name of the roster. */
  rosterId: string;
  /** The claims, by key. */
  claims: Claim[];
  /** The key after which the next page begins; the last page has none. */
  next?: string | undefined;
  /** The gaps in what the sender knows. */
  gaps: ClaimGap[];
}

/** The messages about claims between peers. */
export type ClaimPeerMessage =
  | ClaimAsked
  | ClaimVoted
  | ClaimSettled
  | ClaimReleased
  | ClaimsWanted
  | ClaimsHandedOver;

const answerSchema: z.ZodType<TargetAnswer> = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.instanceof(Uint8Array),
}) as unknown as z.ZodType<TargetAnswer>;

const wantedFields = {
  key: z.string().max(64),
  owner: z.string().max(256),
  fingerprint: z.string().max(64),
  holdMilliseconds: z.number().min(0),
};

const claimSchema = z.object({
  key: z.string().max(64),
  owner: z.string().max(256),
  fingerprint: z.string().max(64),
  state: z.enum(Object.values(ClaimState) as [ClaimState, ...ClaimState[]]),
  answer: answerSchema.optional(),
  remainingMilliseconds: z.number().min(0),
});

const gapSchema = z.object({
  rosterId: z.string().max(64),
  members: z.array(z.string()),
  missing: z.array(z.string()),
  remainingMilliseconds: z.number().min(0),
});

/** The shapes of the messages about claims between peers. */
export const CLAIM_PEER_MESSAGE_SCHEMAS = [
  z.object({ kind: z.literal("claim-asked"), ...wantedFields, rosterId: z.string().max(64) }),
  z.object({
    kind: z.literal("claim-voted"),
    owner: z.string().max(256),
    vote: z.enum(Object.values(Vote) as [Vote, ...Vote[]]),
    answer: answerSchema.optional(),
  }),
  z.object({ kind: z.literal("claim-settled"), ...wantedFields, answer: answerSchema.optional() }),
  z.object({
    kind: z.literal("claim-released"),
    key: wantedFields.key,
    owner: wantedFields.owner,
  }),
  z.object({
    kind: z.literal("claims-wanted"),
    rosterId: z.string().max(64),
    isWhole: z.boolean(),
    after: z.string().max(64),
  }),
  z.object({
    kind: z.literal("claims-handed-over"),
    rosterId: z.string().max(64),
    claims: z.array(claimSchema),
    next: z.string().max(64).optional(),
    gaps: z.array(gapSchema),
  }),
] as const;

/** The messages that the claim task takes. */
export type ClaimTaskMessage =
  | RecordEvent
  | StandingChanged
  | {
    kind: "claim-wanted";
    request: CallerRequest;
    timeoutMilliseconds: number | undefined;
    reply: Reply<ClaimDecision>;
  }
  | { kind: "claim-ended"; requestId: string; end: ClaimEnd }
  | { kind: "votes-due"; owner: string }
  | { kind: "ask-again"; requestId: string }
  | { kind: "claims-tick" }
  | { kind: "leaving"; reply: Reply<void> }
  | { kind: "peer"; from: string; message: ClaimPeerMessage };
