/** A holder of claims: votes, retains answers, and hands claims over when the roster changes. */

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

/** A message to a member, which may be this one. */
export interface OutgoingClaimMessage {
  /** The id of the member. */
  to: string;
  message: ClaimPeerMessage;
}

/** Options of a `ClaimHolder`. */
export interface ClaimHolderOptions extends ClaimLedgerOptions {
  /** The id of this member. */
  ownMemberId: string;
  /** How long a claim made before a change of the roster may stay valid after it. */
  maximumClaimMilliseconds?: number;
  /** Gets whether no claim of a key can be missing, so that an unknown key is a new key. */
  hasCompleteClaims?: (handOvers: HandOverTracker, key: string, now: number) => boolean;
}

/** Keeps the claims of a member. Times are passed as arguments, in elapsed milliseconds. */
export class ClaimHolder {
  readonly #options: ClaimHolderOptions;
  readonly #ledger: ClaimLedger;
  readonly #handOvers: HandOverTracker;
  /** The members that have received the last page of the hand-over for the newest roster. */
  readonly #receivers = new Set<string>();

  private constructor(options: ClaimHolderOptions) {
    this.#options = options;
    this.#ledger = ClaimLedger.create(options);
    this.#handOvers = HandOverTracker.create(options);
  }

  /** Creates a holder without a roster. */
  static create(options: ClaimHolderOptions): ClaimHolder {
    return new ClaimHolder(options);
  }

  /** Gets the id of the newest roster. */
  getRosterId(): string | undefined {
    return this.#handOvers.getRosterId();
  }

  /** Gets the holders of a key under the newest roster. */
  getHolders(key: string): readonly string[] {
    return getHolders(key, this.#handOvers.getMembers());
  }

  /** Gets whether every other member of the newest roster has received its hand-over. */
  hasHandedOver(): boolean {
    const { ownMemberId } = this.#options;
    return this.#handOvers.getMembers().every((member) =>
      member === ownMemberId || this.#receivers.has(member)
    );
  }

  /** Gets the state for the state dump. */
  getState(now: number): unknown {
    return { ...this.#ledger.getSize(), roster: this.#handOvers.getState(now) };
  }

  /** Applies a change of the roster, and requests the claims that this member now holds from the earlier members. */
  setRoster(options: AddRosterOptions): OutgoingClaimMessage[] {
    const before = this.getRosterId();
    this.#handOvers.add(options);
    if (this.getRosterId() === before) return [];
    this.#receivers.clear();
    return this.requestMissingHandOvers(options.now);
  }

  /** Requests the missing hand-overs again, and removes expired claims. */
  requestMissingHandOvers(now: number): OutgoingClaimMessage[] {
    this.#ledger.removeExpired(now);
    return this.#handOvers.getMissingHandOvers(now).flatMap(({ step: incomplete, members }) =>
      members.map((to) => ({ to, message: createHandOverRequest(incomplete, "") }))
    );
  }

  /** Handles a message from a member, and gets the replies. */
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
        return this.#receiveHandOver(from, message, now);
      case "claim-voted":
        return [];
    }
  }

  #vote(request: ClaimAsked, now: number): ClaimPeerMessage {
    const { owner, key } = request;
    if (request.rosterId !== this.getRosterId()) {
      return { kind: "claim-voted", owner, vote: Vote.OtherRoster };
    }
    const hasCompleteClaims = this.#options.hasCompleteClaims ??
      ((handOvers, wantedKey, at) => handOvers.hasCompleteClaims(wantedKey, at));
    const isKnown = this.#ledger.hasClaim(key, now);
    if (!isKnown && !hasCompleteClaims(this.#handOvers, key, now)) {
      return { kind: "claim-voted", owner, vote: Vote.Unsure };
    }
    const vote = this.#ledger.vote(request, now);
    if (vote !== Vote.Answered) return { kind: "claim-voted", owner, vote };
    return { kind: "claim-voted", owner, vote, answer: this.#ledger.getAnswer(key, now) };
  }

  /** Hands claims over once all earlier hand-overs are in, after which none is granted under an older roster. */
  #handOver(to: string, request: ClaimsWanted, now: number): OutgoingClaimMessage[] {
    const { rosterId, isWhole, after } = request;
    const transition = this.#handOvers.getTransition(rosterId);
    if (transition === undefined || !this.#handOvers.isReadyToHandOver(rosterId, isWhole, now)) {
      return [];
    }
    const isMoved = (claim: Claim) =>
      getHolders(claim.key, transition.members).includes(to) &&
      (isWhole || !getHolders(claim.key, transition.previous).includes(to));
    const claims = this.#ledger.getClaims(now)
      .filter((claim) => claim.key > after && isMoved(claim))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = claims.slice(0, getPageLength(claims));
    const next = page.length < claims.length ? page.at(-1)?.key : undefined;
    if (next === undefined && rosterId === this.getRosterId()) this.#receivers.add(to);
    const gaps = this.#handOvers.getGapsFor(rosterId, isWhole, now);
    return [{ to, message: { kind: "claims-handed-over", rosterId, claims: page, next, gaps } }];
  }

  #receiveHandOver(from: string, handed: ClaimsHandedOver, now: number): OutgoingClaimMessage[] {
    for (const claim of handed.claims) this.#ledger.addHandedOver(claim, now);
    const transition = this.#handOvers.getTransition(handed.rosterId);
    if (transition === undefined) return [];
    if (handed.next !== undefined) {
      return [{ to: from, message: createHandOverRequest(transition, handed.next) }];
    }
    this.#handOvers.addHandOver(handed.rosterId, from, handed.gaps, now);
    return [];
  }
}

function createHandOverRequest(transition: RosterTransition, after: string): ClaimPeerMessage {
  return {
    kind: "claims-wanted",
    rosterId: transition.rosterId,
    isWhole: transition.isWhole,
    after,
  };
}

/** Gets the number of claims of the next page. The claims of a key are not split between pages. */
function getPageLength(claims: readonly Claim[]): number {
  let bytes = 0;
  for (const [index, claim] of claims.entries()) {
    const isFull = index >= MAXIMUM_CLAIMS_PER_PAGE || bytes >= ANSWER_BYTES_PER_PAGE;
    if (isFull && claims[index - 1]?.key !== claim.key) return index;
    bytes += claim.answer?.body.length ?? 0;
  }
  return claims.length;
}
