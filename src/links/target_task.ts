/** The link to one target: a bounded set of connections, and the calls that wait for one. */

import type { TargetCall } from "../requests/exchange.ts";
import { Task } from "../tasks/mod.ts";
import { type ExchangeResult, TargetConnection } from "./target_connection.ts";

/** The largest answer of a target, in bytes. */
export const MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

/** The calls that may wait for a connection; dispatch keeps to the slots, so that few wait. */
const MOST_WAITING_CALLS = 1_024;

/** Options of a `TargetTask`. */
export interface TargetTaskOptions {
  /** The IP number and port of the target. */
  address: string;
  /** The most connections. */
  connections: number;
}

/** The messages that a `TargetTask` takes. */
export type TargetTaskMessage =
  | { kind: "call"; call: TargetCall }
  | { kind: "cancel"; callId: string }
  | { kind: "timed-out"; callId: string }
  | { kind: "run-ended"; callId: string }
  | { kind: "set-connections"; connections: number };

interface ActiveCall {
  call: TargetCall;
  connection: TargetConnection | undefined;
  timer: NodeJS.Timeout;
  isAbandoned: boolean;
}

/** Owns the connections to one target. */
export class TargetTask extends Task<TargetTaskMessage> {
  readonly #options: TargetTaskOptions;
  readonly #calls = new Map<string, ActiveCall>();
  readonly #waiting = new Set<string>();
  readonly #connections = new Set<TargetConnection>();
  #idle: TargetConnection[] = [];
  #mostConnections: number;
  #hasEchoed = false;

  private constructor(options: TargetTaskOptions) {
    super({ name: `target ${options.address}` });
    this.#options = options;
    this.#mostConnections = options.connections;
  }

  /** Creates the task. */
  static create(options: TargetTaskOptions): TargetTask {
    return new TargetTask(options);
  }

  protected override receive(message: TargetTaskMessage): void {
    switch (message.kind) {
      case "call":
        return this.#addCall(message.call);
      case "cancel":
        return this.#abandon(message.callId, "the caller left", false);
      case "timed-out":
        return this.#abandon(message.callId, "the target did not answer in time", true);
      case "run-ended":
        return this.#giveUp(message.callId);
      case "set-connections":
        this.#mostConnections = message.connections;
        return this.#closeSurplus();
    }
  }

  override getState(): unknown {
    return {
      connections: this.#connections.size,
      idle: this.#idle.length,
      calls: this.#calls.size,
      waiting: this.#waiting.size,
    };
  }

  /** Gets whether no call and no connection is left. */
  isIdle(): boolean {
    return this.#calls.size === 0 && this.#idle.length === this.#connections.size;
  }

  override stop(): void {
    super.stop();
    for (const active of this.#calls.values()) clearTimeout(active.timer);
    for (const connection of this.#connections) connection.close();
    this.#calls.clear();
  }

  #addCall(call: TargetCall): void {
    if (this.#waiting.size >= MOST_WAITING_CALLS) {
      const reason = "too many calls wait for a connection";
      return call.report({ outcome: "failed", reason, mayHaveLeft: false, isFault: false });
    }
    const { callId, timeoutMilliseconds } = call;
    const timer = setTimeout(() => this.post({ kind: "timed-out", callId }), timeoutMilliseconds);
    this.#calls.set(callId, { call, connection: undefined, timer, isAbandoned: false });
    this.#waiting.add(callId);
    this.#startWaiting();
  }

  #startWaiting(): void {
    for (const callId of this.#waiting) {
      const connection = this.#takeConnection();
      if (connection === undefined) return;
      this.#waiting.delete(callId);
      this.#startCall(callId, connection);
    }
  }

  #takeConnection(): TargetConnection | undefined {
    const idle = this.#idle.pop();
    if (idle !== undefined) return idle;
    if (this.#connections.size >= this.#mostConnections) return undefined;
    const { address } = this.#options;
    const connection = TargetConnection.create({
      address,
      maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
    });
    this.#connections.add(connection);
    return connection;
  }

  #startCall(callId: string, connection: TargetConnection): void {
    const active = this.#calls.get(callId)!;
    active.connection = connection;
    connection.exchange({
      request: active.call.request,
      timeoutMilliseconds: active.call.timeoutMilliseconds,
      requiresEcho: this.#hasEchoed,
      onResult: (end) => this.#endExchange(callId, connection, end),
    });
  }

  #endExchange(callId: string, connection: TargetConnection, end: ExchangeResult): void {
    const active = this.#calls.get(callId);
    const isReusable = end.outcome === "answered" && active?.isAbandoned === false;
    if (end.outcome === "answered" && end.hasEchoed) this.#hasEchoed = true;
    this.#giveBack(connection, isReusable);
    if (active === undefined) return;
    this.#removeCall(callId, active);
    if (active.isAbandoned) {
      const answer = end.outcome === "answered" ? end.answer : undefined;
      active.call.report({ outcome: "work-ended", answer });
    } else {
      active.call.report(end);
    }
  }

  #giveBack(connection: TargetConnection, isReusable: boolean): void {
    if (isReusable && this.#connections.size <= this.#mostConnections && !this.isStopped()) {
      this.#idle.push(connection);
    } else {
      this.#connections.delete(connection);
      connection.close();
    }
    this.#startWaiting();
  }

  /** Ends the wait for an answer; when a byte has left, the end of the work is still awaited. */
  #abandon(callId: string, reason: string, isFault: boolean): void {
    const active = this.#calls.get(callId);
    if (active === undefined || active.isAbandoned) return;
    if (active.connection?.mayHaveLeft() !== true) {
      this.#waiting.delete(callId);
      this.#removeCall(callId, active);
      if (active.connection !== undefined) this.#giveBack(active.connection, false);
      return active.call.report({ outcome: "failed", reason, mayHaveLeft: false, isFault });
    }
    active.isAbandoned = true;
    clearTimeout(active.timer);
    const { longestRunMilliseconds } = active.call;
    active.timer = setTimeout(
      () => this.post({ kind: "run-ended", callId }),
      longestRunMilliseconds,
    );
    active.call.report({ outcome: "abandoned", reason, isFault });
  }

  #giveUp(callId: string): void {
    const active = this.#calls.get(callId);
    if (active === undefined) return;
    this.#removeCall(callId, active);
    this.#giveBack(active.connection!, false);
    active.call.report({ outcome: "work-ended", answer: undefined });
  }

  #removeCall(callId: string, active: ActiveCall): void {
    clearTimeout(active.timer);
    this.#calls.delete(callId);
  }

  #closeSurplus(): void {
    while (this.#idle.length > 0 && this.#connections.size > this.#mostConnections) {
      const connection = this.#idle.pop()!;
      this.#connections.delete(connection);
      connection.close();
    }
    this.#startWaiting();
  }
}
