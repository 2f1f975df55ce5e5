/** The messages about claims between tasks and between peers. */

import { z } from "zod";
import type { StandingChanged } from "../../contracts/standing.ts";
import type { RecordEvent } from "../../records/record_messages.ts";
import type { Reply } from "../../tasks/mod.ts";
import type { CallerRequest, TargetAnswer } from "../exchange.ts";
import type { ClaimDecision, ClaimEnd } from "../request_progress.ts";
import { type Claim, ClaimState, Vote } from "./claim.ts";
import type { ClaimProposal } from "./claim_ledger.ts";
import type { ClaimGap } from "./hand_over_tracker.ts";

/** The maximum number of claims in a page of a hand-over, unless the last key has more. */
export const MAXIMUM_CLAIMS_PER_PAGE = 500;

/** The total size of the answers at which a page of a hand-over ends. */
export const ANSWER_BYTES_PER_PAGE = 256 * 1024;

/** Requests the vote of a holder. */
export interface ClaimAsked extends ClaimProposal {
  kind: "claim-asked";
  /** The id of the roster by which the holder was chosen. */
  rosterId: string;
}

/** The vote of a holder. */
export interface ClaimVoted {
  kind: "claim-voted";
  /** The id of the claim attempt. */
  owner: string;
  vote: Vote;
  /** The retained answer, if the vote is `Vote.Answered`. */
  answer?: TargetAnswer | undefined;
}

/** Notifies a holder that the owner of a claim has run. */
export interface ClaimSettled extends ClaimProposal {
  kind: "claim-settled";
  /** The answer, if there is one to retain. */
  answer?: TargetAnswer | undefined;
}

/** Notifies a holder that the owner of a claim has not run and never will. */
export interface ClaimReleased {
  kind: "claim-released";
  /** The hash of the team, service and idempotency key. */
  key: string;
  /** The id of the claim attempt that owned the claim. */
  owner: string;
}

/** Requests from a member of an earlier roster the claims that the sender now holds. */
export interface ClaimsWanted {
  kind: "claims-wanted";
  /** The id of the roster for which the claims are handed over. */
  rosterId: string;
  /** Whether the sender does not know the earlier rosters and needs all claims that it holds. */
  isWhole: boolean;
  /** The key after which the requested page begins. */
  after: string;
}

/** A page of a hand-over. */
export interface ClaimsHandedOver {
  kind: "claims-handed-over";
  /** The id of the roster. */
  rosterId: string;
  /** The claims, sorted by key. */
  claims: Claim[];
  /** The key after which the next page begins; undefined on the last page. */
  next?: string | undefined;
  /** The gaps in the claims of the sender. */
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

const proposalFields = {
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

/** The schemas of the messages about claims between peers. */
export const CLAIM_PEER_MESSAGE_SCHEMAS = [
  z.object({ kind: z.literal("claim-asked"), ...proposalFields, rosterId: z.string().max(64) }),
  z.object({
    kind: z.literal("claim-voted"),
    owner: z.string().max(256),
    vote: z.enum(Object.values(Vote) as [Vote, ...Vote[]]),
    answer: answerSchema.optional(),
  }),
  z.object({
    kind: z.literal("claim-settled"),
    ...proposalFields,
    answer: answerSchema.optional(),
  }),
  z.object({
    kind: z.literal("claim-released"),
    key: proposalFields.key,
    owner: proposalFields.owner,
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

/** The messages that `ClaimTask` handles. */
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
