/** What the `OwnershipTask` receives, publishes and depends on. */

import type { EventLog } from "../events/mod.ts";
import type { ElapsedClock } from "../tasks/mod.ts";
import type { HandOver } from "./hand_over_control.ts";
import type { Candidate } from "./hand_over_decision.ts";
import type { AppendClaim, Claim, ClaimAppendResult } from "./ownership_ports.ts";

/** The current state of the claims topic. */
export interface ClaimUpdate {
  /** The newest claim. */
  claim: Claim | undefined;
  /** The end offset of the topic, where the next claim is appended. */
  end: number;
  /**
   * The send time of the read, on the elapsed clock: the claim was current then or later;
   * `-Infinity` if the read did not reach the end of the topic.
   */
  asOf: number;
}

/** The ownership as published to other tasks. */
export interface OwnershipView {
  /** The newest claim. */
  claim: Claim | undefined;
  /** Whether this process holds the claim and has not released it. */
  isMine: boolean;
  /**
   * The send time of the last read or append that showed the claim of this process as the newest,
   * on the elapsed clock.
   */
  confirmedAt: number;
}

/** The messages of an `OwnershipTask`. */
export type OwnershipMessage =
  | { kind: "claim-update"; update: ClaimUpdate }
  | { kind: "tick" }
  | { kind: "appended"; claim: Claim; sentAt: number; result: ClaimAppendResult }
  /** Allows this host to claim the fleet. */
  | { kind: "enable" }
  /**
   * Releases the claim of this host and prevents further ones. The lease is the longest that may
   * remain at executors; if it is unset, this host has granted none.
   */
  | { kind: "release"; leaseMilliseconds?: number | undefined }
  /** Reports that the process of a claim's holder has ended. */
  | { kind: "holder-ended"; holder: string }
  /** Reports a ping of a host that may own the fleet after this one. */
  | { kind: "candidate"; candidate: Candidate }
  /** Reports that a candidate's link was closed. */
  | { kind: "candidate-lost"; holder: string; linkOpenedAt: number }
  /** The owner's journal has ended, as `onHandOverDecided` asked: releases the claim. */
  | { kind: "hand-over"; epoch: number; leaseMilliseconds: number }
  /** The owner goes on deciding, since its journal has not ended in time. */
  | { kind: "hand-over-abandoned"; epoch: number };

/** Options of an `OwnershipTask`. */
export interface OwnershipTaskOptions {
  /** The identity of this process, unique for each start (see `Claim.holder`). */
  holder: string;
  /** The name of this host. */
  hostName: string;
  /** The address on which this host accepts links from other entry hosts. */
  address: string;
  /** Gets the delay before this host claims an epoch, in milliseconds. */
  getDelay: (epoch: number) => number;
  /** The maximum lease that executors accept, in milliseconds. */
  longestLeaseMilliseconds: number;
  /** The number of cores that this process may use. */
  cores: number;
  /** The shortage of this host (see `getShortage`). */
  shortage: number;
  /** Appends a claim. */
  appendClaim: AppendClaim;
  /** Called with the current ownership whenever the claims are read or renewed. */
  onOwnership: (view: OwnershipView) => void;
  /**
   * Called when the owner shall hand over: it stops deciding, lets its journal end, and reports
   * `hand-over`, or goes on and reports `hand-over-abandoned`.
   */
  onHandOverDecided: (handOver: HandOver) => void;
  /** Called when the claim is known not to have been released, so that the owner goes on deciding. */
  onReleaseFailed: (epoch: number) => void;
  /** The elapsed clock, for the ages of claims and confirmations. */
  clock: ElapsedClock;
  /** Gets the monotonic time, in milliseconds. */
  getMonotonicTime: () => number;
  /** The event log. */
  log: EventLog;
}
