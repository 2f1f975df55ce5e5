/** The duties of a holder of claims: it votes, keeps answers, and hands over when the roster changes. */

import { type Claim, Vote } from "./claim.ts";
import { getHolders } from "./claim_holders.ts";
import { ClaimLedger, type ClaimLedgerOptions } from "./claim_ledger.ts";
import {
  ANSWER_BYTES_PER_PAGE,
  type ClaimAsked,
  type ClaimPeerMessage,
  type ClaimsHandedOver,
  type ClaimsWanted,
  MAXIMUM_CLAIMS_PER_PAGE,
} from "./claim_messages.ts";
import {
  type AddRosterOptions,
  HandOverTracker,
  type RosterTransition,
} from "./hand_over_tracker.ts";

/** A message for a member, which may be this one. */
export interface OutgoingClaimMessage {
  /** The identity of the member. */
  to: string;
  /** The message. */
  message: ClaimPeerMessage;
}

/** Options of a `ClaimHolder`. */
export interface ClaimHolderOptions extends ClaimLedgerOptions {
  /** The identity of this member. */
  ownMemberId: string;
  /** How long a claim made before a change of the roster may count after it. */
  maximumClaimMilliseconds?: number;
  /** Gets whether an unknown key is certainly a new key. */
  hasCompleteClaims?: (steps: HandOverTracker, key: string, now: number) => boolean;
}

/** Owns the ledger of one member; every time is an argument, in elapsed milliseconds. */
export class ClaimHolder {
  readonly #options: ClaimHolderOptions;
  readonly #ledger: ClaimLedger;
  readonly #steps: HandOverTracker;
  /** Who has taken the last page of the hand-over for the newest roster. */
  readonly #takers = new Set<string>();

  private constructor(options: ClaimHolderOptions) {
    this.#options = options;
    this.#ledger = ClaimLedger.create(options);
    this.#steps = HandOverTracker.create(options);
  }

  /** Creates a holder that knows no roster. */
  static create(options: ClaimHolderOptions): ClaimHolder {
    return new ClaimHolder(options);
  }

  /** Gets the name of the newest roster. */
  getRosterId(): string | undefined {
    return this.#steps.getRosterId();
  }

  /** Gets the members that hold the claim of a key under the newest roster. */
  getHolders(key: string): readonly string[] {
    return getHolders(key, this.#steps.getMembers());
  }

  /** Gets whether every other member of the newest roster has taken the hand-over for it. */
  hasHandedOver(): boolean {
    const { ownMemberId } = this.#options;
    return this.#steps.getMembers().every((member) =>
      member === ownMemberId || this.#takers.has(member)
    );
  }

  /** Gets what the state dump shows. */
  getState(now: number): unknown {
    return { ...this.#ledger.getSize(), roster: this.#steps.getState(now) };
  }

  /** Follows a change of the roster, and asks the earlier members for what this one holds from now on. */
  changeRoster(options: AddRosterOptions): OutgoingClaimMessage[] {
    const before = this.getRosterId();
    this.#steps.add(options);
    if (this.getRosterId() === before) return [];
    this.#takers.clear();
    return this.requestMissingHandOvers(options.now);
  }

  /** Asks again for the hand-overs that did not come, and forgets what is past its time. */
  requestMissingHandOvers(now: number): OutgoingClaimMessage[] {
    this.#ledger.removeExpired(now);
    return this.#steps.getMissingHandOvers(now).flatMap(({ step, members }) =>
      members.map((to) => ({ to, message: createWanted(step, "") }))
    );
  }

  /** Handles a message of a member, and gets the replies. */
  receive(from: string, message: ClaimPeerMessage, now: number): OutgoingClaimMessage[] {
    switch (message.kind) {
      case "claim-asked":
        return [{ to: from, message: this.#vote(message, now) }];
      case "claim-settled":
        this.#ledger.complete(message, message.answer, now);
        return [];
      case "claim-released":
        this.#ledger.release(message.key, message.owner);
        return [];
      case "claims-wanted":
        return this.#handOver(from, message, now);
      case "claims-handed-over":
        return this.#takeOver(from, message, now);
      case "claim-voted":
        return [];
    }
  }

  #vote(asked: ClaimAsked, now: number): ClaimPeerMessage {
    const { owner, key } = asked;
    if (asked.rosterId !== this.getRosterId()) {
      return { kind: "claim-voted", owner, vote: Vote.OtherRoster };
    }
    const hasCompleteClaims = this.#options.hasCompleteClaims ??
      ((steps, wanted, at) => steps.hasCompleteClaims(wanted, at));
    const isKnown = this.#ledger.hasClaim(key, now);
    if (!isKnown && !hasCompleteClaims(this.#steps, key, now)) {
      return { kind: "claim-voted", owner, vote: Vote.Unsure };
    }
    const vote = this.#ledger.vote(asked, now);
    if (vote !== Vote.Answered) return { kind: "claim-voted", owner, vote };
    return { kind: "claim-voted", owner, vote, answer: this.#ledger.getAnswer(key, now) };
  }

  /** Hands over once all earlier hand-overs are in: from then on nothing is granted under an older roster. */
  #handOver(to: string, wanted: ClaimsWanted, now: number): OutgoingClaimMessage[] {
    const { rosterId, isWhole, after } = wanted;
    const step = this.#steps.getTransition(rosterId);
    if (step === undefined || !this.#steps.isReadyToHandOver(rosterId, isWhole, now)) return [];
    const isMoved = (claim: Claim) =>
      getHolders(claim.key, step.members).includes(to) &&
      (isWhole || !getHolders(claim.key, step.previous).includes(to));
    const claims = this.#ledger.getClaims(now)
      .filter((claim) => claim.key > after && isMoved(claim))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = claims.slice(0, getPageLength(claims));
    const next = page.length < claims.length ? page.at(-1)?.key : undefined;
    if (next === undefined && rosterId === this.getRosterId()) this.#takers.add(to);
    const gaps = this.#steps.getGapsFor(rosterId, isWhole, now);
    return [{ to, message: { kind: "claims-handed-over", rosterId, claims: page, next, gaps } }];
  }

  #takeOver(from: string, handed: ClaimsHandedOver, now: number): OutgoingClaimMessage[] {
    for (const claim of handed.claims) this.#ledger.addHandedOver(claim, now);
    const step = this.#steps.getTransition(handed.rosterId);
    if (step === undefined) return [];
    if (handed.next !== undefined) return [{ to: from, message: createWanted(step, handed.next) }];
    this.#steps.addHandOver(handed.rosterId, from, handed.gaps, now);
    return [];
  }
}

function createWanted(step: RosterTransition, after: string): ClaimPeerMessage {
  return { kind: "claims-wanted", rosterId: step.rosterId, isWhole: step.isWhole, after };
}

/** Gets how many claims fit in one message; the claims of one key stay together. */
function getPageLength(claims: readonly Claim[]): number {
  let bytes = 0;
  for (const [index, claim] of claims.entries()) {
    const isFull = index >= MAXIMUM_CLAIMS_PER_PAGE || bytes >= ANSWER_BYTES_PER_PAGE;
    if (isFull && claims[index - 1]?.key !== claim.key) return index;
    bytes += claim.answer?.body.length ?? 0;
  }
  return claims.length;
}
