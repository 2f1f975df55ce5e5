/** The claims of idempotency keys at one entry host: it asks the holders, and is a holder itself. */

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

/** The most claims that one entry host holds. */
const MOST_CLAIMS = 20_000;

/** The most bytes of answers that one entry host keeps for repeated requests. */
const MOST_ANSWER_BYTES = 16 * 1024 * 1024;

/** How long votes are awaited. */
const VOTE_TIMEOUT_MILLISECONDS = 400;

/** The shortest pause before holders are asked again; it grows with each ask. */
const ASK_AGAIN_MILLISECONDS = 20;

/** The time between two asks for hand-overs that did not come. */
const TICK_MILLISECONDS = 250;

/** The most requests that wait for a claim or hold one. */
const MOST_REQUESTS = 10_000;

/** Options of a `ClaimTask`. */
export interface ClaimTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The clock of elapsed time. */
  clock: ElapsedClock;
  /** Decides what the votes come to. */
  decideClaim: DecideClaim;
  /** Finds the changes of the roster in a fleet. */
  findRosterChanges: FindRosterChanges;
  /** Gets a random number from 0 up to 1, so that two hosts do not ask again at the same time. */
  random: () => number;
  /** Sends a message to a peer. */
  send: (to: string, message: ClaimPeerMessage) => void;
}

/** Owns the claims that this host holds and those that it asks for. */
export class ClaimTask extends Task<ClaimTaskMessage> {
  readonly #options: ClaimTaskOptions;
  readonly #holder: ClaimHolder;
  readonly #coordinator: ClaimCoordinator;
  readonly #replies = new Map<string, Reply<ClaimDecision>>();
  readonly #timers = new Set<NodeJS.Timeout>();
  readonly #ticker: NodeJS.Timeout;
  #leaveReplies: Reply<void>[] = [];
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;

  private constructor(options: ClaimTaskOptions) {
    super({ name: "claims" });
    this.#options = options;
    this.#holder = ClaimHolder.create({
      ownMemberId: options.memberId,
      maximumClaims: MOST_CLAIMS,
      maximumAnswerBytes: MOST_ANSWER_BYTES,
    });
    this.#coordinator = ClaimCoordinator.create({
      decideClaim: options.decideClaim,
      getHolders: (key) => ({
        rosterId: this.#holder.getRosterId() ?? "",
        holders: this.#holder.getHolders(key),
      }),
    });
    this.#ticker = setInterval(() => this.post({ kind: "claims-tick" }), TICK_MILLISECONDS);
  }

  /** Creates the task. */
  static create(options: ClaimTaskOptions): ClaimTask {
    return new ClaimTask(options);
  }

  protected override receive(message: ClaimTaskMessage): void {
    const now = this.#options.clock.getElapsed();
    switch (message.kind) {
      case "fleet-changed":
        return this.#follow(message.fleet, now);
      case "log-read":
        return;
      case "standing-changed":
        this.#grant = message.grant;
        return;
      case "claim-wanted":
        return this.#start(message.request, message.timeoutMilliseconds, message.reply, now);
      case "claim-ended":
        return this.#run(this.#coordinator.end(message.requestId, message.end), now);
      case "votes-due":
        return this.#run(this.#coordinator.endVoting(message.owner), now);
      case "ask-again":
        return this.#run(this.#coordinator.startNextRound(message.requestId, now), now);
      case "claims-tick":
        return this.#tick(now);
      case "leaving":
        this.#leaveReplies.push(message.reply);
        return this.#checkLeave();
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

  #follow(fleet: Fleet, now: number): void {
    this.#fleet = fleet;
    const { findRosterChanges: findRosterChanges, memberId } = this.#options;
    for (const change of findRosterChanges(fleet, this.#holder.getRosterId(), memberId)) {
      this.#send(this.#holder.changeRoster({ ...change, now }), now);
    }
    this.#checkLeave();
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
    if (this.#fleet === undefined || this.#coordinator.getSize() >= MOST_REQUESTS) {
      return reply(refuse(RefusalReason.QueueFull, "this entry host is full"));
    }
    const { service, presentedKey } = request;
    const decision = decideAccess({ fleet: this.#fleet, service, presentedKey });
    if (decision.outcome === "refused") return reply(decision);
    const { team } = decision.access.rights;
    const profile = decision.access.service.getProfile().getData();
    const runMilliseconds = profile.longestRunMilliseconds +
      Math.max(timeoutMilliseconds ?? 0, profile.deadlineMilliseconds);
    if (runMilliseconds > MAXIMUM_CLAIMED_RUN_MILLISECONDS) {
      const detail = `with an idempotency key, deadline and run may take at most ${
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
    this.#run(this.#coordinator.start(claimRequest, now), now);
  }

  #receivePeer(from: string, message: ClaimPeerMessage, now: number): void {
    if (message.kind === "claim-voted") {
      return this.#run(this.#coordinator.addVote(from, message), now);
    }
    this.#send(this.#holder.receive(from, message, now), now);
    this.#checkLeave();
  }

  #run(effects: readonly ClaimEffect[], now: number): void {
    for (const effect of effects) this.#runOne(effect, now);
  }

  #runOne(effect: ClaimEffect, now: number): void {
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
        const pause = ASK_AGAIN_MILLISECONDS * effect.round * (1 + this.#options.random());
        return this.#postLater({ kind: "ask-again", requestId: effect.requestId }, pause);
      }
    }
  }

  /** Sends messages; what this host tells itself goes through its own mailbox. */
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

  /** Answers who waits for the hand-over of a host that has left the roster. */
  #checkLeave(): void {
    if (this.#leaveReplies.length === 0) return;
    const hasLeft = this.#fleet?.getMember(this.#options.memberId) === undefined;
    if (!hasLeft || !this.#holder.hasHandedOver()) return;
    for (const reply of this.#leaveReplies) reply();
    this.#leaveReplies = [];
  }
}

/** Gets the hash of a request: the same key with another method, path or body is another request. */
export function createFingerprint(request: CallerRequest): string {
  return createHash("sha256")
    .update(JSON.stringify([request.method, request.path]))
    .update(request.body)
    .digest("hex");
}

function refuse(reason: RefusalReason, detail: string): ClaimDecision {
  return { outcome: "refused", refusal: createNotRunRefusal(reason, detail, 1_000) };
}
