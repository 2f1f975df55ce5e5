/** The claims of idempotency keys at an entry host, which requests claims and is a holder itself. */

import { createHash } from "node:crypto";
import { getStandingAt, Standing, type StandingGrant } from "../../contracts/standing.ts";
import type { Fleet } from "../../records/fleet.ts";
import { decideAccess } from "../../teams/access.ts";
import { type ElapsedClock, type Reply, Task } from "../../tasks/mod.ts";
import type { CallerRequest } from "../exchange.ts";
import { createNotRunRefusal, RefusalReason } from "../refusal.ts";
import type { ClaimDecision } from "../request_progress.ts";
import {
  ANSWER_RETENTION_MILLISECONDS,
  CLAIM_MARGIN_MILLISECONDS,
  MAXIMUM_CLAIMED_RUN_MILLISECONDS,
} from "./claim.ts";
import { ClaimCoordinator, type ClaimEffect } from "./claim_coordinator.ts";
import { ClaimHolder, type OutgoingClaimMessage } from "./claim_holder.ts";
import { createClaimKey } from "./claim_holders.ts";
import type { ClaimPeerMessage, ClaimTaskMessage } from "./claim_messages.ts";
import type { DecideClaim } from "./claim_quorum.ts";
import type { FindRosterChanges } from "./find_roster_changes.ts";

/** The maximum number of claims that an entry host holds. */
const MAXIMUM_CLAIMS = 20_000;

/** The maximum total size of the answers that an entry host retains for repeated requests. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** How long a vote round waits for votes. */
const VOTE_TIMEOUT_MILLISECONDS = 400;

/** The minimum pause before the second vote round; it grows with each round. */
const NEXT_ROUND_MILLISECONDS = 20;

/** The interval between requests for missing hand-overs. */
const TICK_INTERVAL_MILLISECONDS = 250;

/** The maximum number of requests that wait for a claim or hold one. */
const MAXIMUM_REQUESTS = 10_000;

/** Options of a `ClaimTask`. */
export interface ClaimTaskOptions {
  /** The member id of this process. */
  memberId: string;
  clock: ElapsedClock;
  /** Decides on the votes. */
  decideClaim: DecideClaim;
  /** Finds the changes of the roster since a known one. */
  findRosterChanges: FindRosterChanges;
  /** Gets a random number from 0 up to 1, so that two hosts do not start their next vote rounds at the same time. */
  random: () => number;
  /** Sends a message to a peer. */
  send: (to: string, message: ClaimPeerMessage) => void;
}

/** Owns the claims that this entry host holds and those that it requests. */
export class ClaimTask extends Task<ClaimTaskMessage> {
  readonly #options: ClaimTaskOptions;
  readonly #holder: ClaimHolder;
  readonly #coordinator: ClaimCoordinator;
  readonly #replies = new Map<string, Reply<ClaimDecision>>();
  readonly #timers = new Set<NodeJS.Timeout>();
  readonly #ticker: NodeJS.Timeout;
  #handOverReplies: Reply<void>[] = [];
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;

  private constructor(options: ClaimTaskOptions) {
    super({ name: "claims" });
    this.#options = options;
    this.#holder = ClaimHolder.create({
      ownMemberId: options.memberId,
      maximumClaims: MAXIMUM_CLAIMS,
      maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
    });
    this.#coordinator = ClaimCoordinator.create({
      decideClaim: options.decideClaim,
      getHolders: (key) => ({
        rosterId: this.#holder.getRosterId() ?? "",
        holders: this.#holder.getHolders(key),
      }),
    });
    this.#ticker = setInterval(
      () => this.post({ kind: "claims-tick" }),
      TICK_INTERVAL_MILLISECONDS,
    );
  }

  static create(options: ClaimTaskOptions): ClaimTask {
    return new ClaimTask(options);
  }

  protected override receive(message: ClaimTaskMessage): void {
    const now = this.#options.clock.getElapsed();
    switch (message.kind) {
      case "fleet-changed":
        return this.#setFleet(message.fleet, now);
      case "log-read":
        return;
      case "standing-changed":
        this.#grant = message.grant;
        return;
      case "claim-wanted":
        return this.#start(message.request, message.timeoutMilliseconds, message.reply, now);
      case "claim-ended":
        return this.#runEffects(this.#coordinator.end(message.requestId, message.end), now);
      case "votes-due":
        return this.#runEffects(this.#coordinator.endVoting(message.owner), now);
      case "ask-again":
        return this.#runEffects(this.#coordinator.startNextRound(message.requestId, now), now);
      case "claims-tick":
        return this.#tick(now);
      case "leaving":
        this.#handOverReplies.push(message.reply);
        return this.#checkHandOver();
      case "peer":
        return this.#receivePeer(message.from, message.message, now);
    }
  }

  override getState(): unknown {
    const now = this.#options.clock.getElapsed();
    return { requests: this.#coordinator.getSize(), holder: this.#holder.getState(now) };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#ticker);
    for (const timer of this.#timers) clearTimeout(timer);
  }

  #setFleet(fleet: Fleet, now: number): void {
    this.#fleet = fleet;
    const { findRosterChanges, memberId } = this.#options;
    for (const change of findRosterChanges(fleet, this.#holder.getRosterId(), memberId)) {
      this.#send(this.#holder.setRoster({ ...change, now }), now);
    }
    this.#checkHandOver();
  }

  #tick(now: number): void {
    this.#coordinator.removeExpired(now);
    this.#send(this.#holder.requestMissingHandOvers(now), now);
  }

  #start(
    request: CallerRequest,
    timeoutMilliseconds: number | undefined,
    reply: Reply<ClaimDecision>,
    now: number,
  ): void {
    if (getStandingAt(this.#grant, now) === Standing.Isolated) {
      return reply(refuse(RefusalReason.Isolated, "this entry host may have missed a change"));
    }
    if (this.#fleet === undefined || this.#coordinator.getSize() >= MAXIMUM_REQUESTS) {
      return reply(refuse(RefusalReason.QueueFull, "this entry host is overloaded"));
    }
    const { service, presentedKey } = request;
    const decision = decideAccess({ fleet: this.#fleet, service, presentedKey });
    if (decision.outcome === "refused") return reply(decision);
    const { team } = decision.access.rights;
    const profile = decision.access.service.getProfile().getData();
    const runMilliseconds = profile.longestRunMilliseconds +
      Math.max(timeoutMilliseconds ?? 0, profile.deadlineMilliseconds);
    if (runMilliseconds > MAXIMUM_CLAIMED_RUN_MILLISECONDS) {
      const detail =
        `with an idempotency key, the deadline and the maximum run time may add up to at most ${
          MAXIMUM_CLAIMED_RUN_MILLISECONDS / 1_000
        } s`;
      return reply(refuse(RefusalReason.BadRequest, detail));
    }
    const idempotencyKey = request.idempotencyKey ?? "";
    const claimRequest = {
      requestId: request.requestId,
      key: createClaimKey({ team, service, idempotencyKey }),
      fingerprint: createFingerprint(request),
      holdMilliseconds: runMilliseconds + ANSWER_RETENTION_MILLISECONDS + CLAIM_MARGIN_MILLISECONDS,
    };
    this.#replies.set(request.requestId, reply);
    this.#runEffects(this.#coordinator.start(claimRequest, now), now);
  }

  #receivePeer(from: string, message: ClaimPeerMessage, now: number): void {
    if (message.kind === "claim-voted") {
      return this.#runEffects(this.#coordinator.addVote(from, message), now);
    }
    this.#send(this.#holder.receive(from, message, now), now);
    this.#checkHandOver();
  }

  #runEffects(effects: readonly ClaimEffect[], now: number): void {
    for (const effect of effects) this.#runEffect(effect, now);
  }

  #runEffect(effect: ClaimEffect, now: number): void {
    switch (effect.kind) {
      case "send":
        return this.#send([effect.outgoing], now);
      case "decide":
        this.#replies.get(effect.requestId)?.(effect.decision);
        this.#replies.delete(effect.requestId);
        return;
      case "await-votes":
        return this.#postLater(
          { kind: "votes-due", owner: effect.owner },
          VOTE_TIMEOUT_MILLISECONDS,
        );
      case "ask-later": {
        const pause = NEXT_ROUND_MILLISECONDS * effect.round * (1 + this.#options.random());
        return this.#postLater({ kind: "ask-again", requestId: effect.requestId }, pause);
      }
    }
  }

  /** Sends messages. Messages to this member go through its own mailbox. */
  #send(sendings: readonly OutgoingClaimMessage[], _now: number): void {
    const { memberId, send } = this.#options;
    for (const { to, message } of sendings) {
      if (to === memberId) this.post({ kind: "peer", from: memberId, message });
      else send(to, message);
    }
  }

  #postLater(message: ClaimTaskMessage, milliseconds: number): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.post(message);
    }, milliseconds);
    this.#timers.add(timer);
  }

  /** Replies to those that wait for this member's hand-over after it has left the roster. */
  #checkHandOver(): void {
    if (this.#handOverReplies.length === 0) return;
    const isRemoved = this.#fleet?.getMember(this.#options.memberId) === undefined;
    if (!isRemoved || !this.#holder.hasHandedOver()) return;
    for (const reply of this.#handOverReplies) reply();
    this.#handOverReplies = [];
  }
}

/** Gets the hash of a request's method, path and body, by which a key's reuse for a different request is detected. */
export function createFingerprint(request: CallerRequest): string {
  return createHash("sha256")
    .update(JSON.stringify([request.method, request.path]))
    .update(request.body)
    .digest("hex");
}

function refuse(reason: RefusalReason, detail: string): ClaimDecision {
  return { outcome: "refused", refusal: createNotRunRefusal(reason, detail, 1_000) };
}
