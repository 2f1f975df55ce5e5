/** The connection pool of one target, and the queue of calls that wait for a connection. */

import type { TargetCall } from "../requests/exchange.ts";
import { Task } from "../tasks/mod.ts";
import { type ExchangeResult, TargetConnection } from "./target_connection.ts";

/** The maximum size of a response of a target, in bytes. */
export const MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

/** The maximum number of calls that wait for a connection; few do, as slots limit the dispatch. */
const MAXIMUM_WAITING_CALLS = 1_024;

/** Options of a `TargetTask`. */
export interface TargetTaskOptions {
  /** The IP address and port of the target. */
  address: string;
  /** The maximum number of connections. */
  connections: number;
}

/** The messages of a `TargetTask`. */
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
  #maximumConnections: number;
  #hasEchoed = false;

  private constructor(options: TargetTaskOptions) {
    super({ name: `target ${options.address}` });
    this.#options = options;
    this.#maximumConnections = options.connections;
  }

  static create(options: TargetTaskOptions): TargetTask {
    return new TargetTask(options);
  }

  protected override receive(message: TargetTaskMessage): void {
    switch (message.kind) {
      case "call":
        return this.#addCall(message.call);
      case "cancel":
        return this.#abandon(message.callId, "the caller disconnected", false);
      case "timed-out":
        return this.#abandon(message.callId, "the target did not answer in time", true);
      case "run-ended":
        return this.#expireRun(message.callId);
      case "set-connections":
        this.#maximumConnections = message.connections;
        return this.#closeSurplusConnections();
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

  /** Gets whether no call is pending and no connection is in use. */
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
    if (this.#waiting.size >= MAXIMUM_WAITING_CALLS) {
      const reason = "too many calls are waiting for a connection";
      return call.report({ outcome: "failed", reason, mayHaveLeft: false, isFault: false });
    }
    const { callId, timeoutMilliseconds } = call;
    const timer = setTimeout(() => this.post({ kind: "timed-out", callId }), timeoutMilliseconds);
    this.#calls.set(callId, { call, connection: undefined, timer, isAbandoned: false });
    this.#waiting.add(callId);
    this.#startWaitingCalls();
  }

  #startWaitingCalls(): void {
    for (const callId of this.#waiting) {
      const connection = this.#acquireConnection();
      if (connection === undefined) return;
      this.#waiting.delete(callId);
      this.#startCall(callId, connection);
    }
  }

  #acquireConnection(): TargetConnection | undefined {
    const idle = this.#idle.pop();
    if (idle !== undefined) return idle;
    if (this.#connections.size >= this.#maximumConnections) return undefined;
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
      onResult: (result) => this.#handleExchangeResult(callId, connection, result),
    });
  }

  #handleExchangeResult(
    callId: string,
    connection: TargetConnection,
    result: ExchangeResult,
  ): void {
    const active = this.#calls.get(callId);
    const isReusable = result.outcome === "answered" && active?.isAbandoned === false;
    if (result.outcome === "answered" && result.hasEchoed) this.#hasEchoed = true;
    this.#releaseConnection(connection, isReusable);
    if (active === undefined) return;
    this.#removeCall(callId, active);
    if (active.isAbandoned) {
      const answer = result.outcome === "answered" ? result.answer : undefined;
      active.call.report({ outcome: "work-ended", answer });
    } else {
      active.call.report(result);
    }
  }

  #releaseConnection(connection: TargetConnection, isReusable: boolean): void {
    if (isReusable && this.#connections.size <= this.#maximumConnections && !this.isStopped()) {
      this.#idle.push(connection);
    } else {
      this.#connections.delete(connection);
      connection.close();
    }
    this.#startWaitingCalls();
  }

  /**
   * Stops waiting for a response. If a byte was sent, the call stays until the target's work has
   * ended.
   */
  #abandon(callId: string, reason: string, isFault: boolean): void {
    const active = this.#calls.get(callId);
    if (active === undefined || active.isAbandoned) return;
    if (active.connection?.mayHaveLeft() !== true) {
      this.#waiting.delete(callId);
      this.#removeCall(callId, active);
      if (active.connection !== undefined) this.#releaseConnection(active.connection, false);
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

  #expireRun(callId: string): void {
    const active = this.#calls.get(callId);
    if (active === undefined) return;
    this.#removeCall(callId, active);
    this.#releaseConnection(active.connection!, false);
    active.call.report({ outcome: "work-ended", answer: undefined });
  }

  #removeCall(callId: string, active: ActiveCall): void {
    clearTimeout(active.timer);
    this.#calls.delete(callId);
  }

  #closeSurplusConnections(): void {
    while (this.#idle.length > 0 && this.#connections.size > this.#maximumConnections) {
      const connection = this.#idle.pop()!;
      this.#connections.delete(connection);
      connection.close();
    }
    this.#startWaitingCalls();
  }
}
