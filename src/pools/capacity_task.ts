/**
 * Moves hosts between spare pools and pools with a shortage. Every member reports its demand to the
 * member that is responsible according to the roster, and that member decides the moves.
 */

import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import { getFirstByRendezvous } from "../contracts/rendezvous.ts";
import type { EventLog } from "../events/mod.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ListResult, PlatformMessage } from "../records/platform_messages.ts";
import type { DraftRecord } from "../records/record.ts";
import type { BusyHosts, DispatchMessage } from "../requests/dispatch_messages.ts";
import { type Address, type ElapsedClock, Task } from "../tasks/mod.ts";
import { LostHostIndex } from "./lost_hosts.ts";
import { createRecordId } from "./drain_task.ts";
import { PoolMembershipRecordKind } from "./pool_membership_records.ts";
import type { DecideMoves, HostMove, PoolRegret } from "./move_decision.ts";
import { PoolDemands, type PoolSlotDemand } from "./pool_demands.ts";
import { createPoolNeeds, hasSparePool } from "./pool_needs.ts";
import type { CapacityMessage, PoolPeerMessage } from "./pool_messages.ts";

/** The rendezvous hashing key that selects the member that decides moves. */
const CAPACITY_KEY = "capacity";

/** The number of ticks in one window of the demand history. */
const TICKS_PER_WINDOW = 60;

/** Options of a `CapacityTask`. */
export interface CapacityTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The monotonic clock. */
  clock: ElapsedClock;
  /** The interval between decisions. */
  tickMilliseconds: number;
  /** The dispatch task, which knows the running requests. */
  dispatch: Address<DispatchMessage>;
  /** The task of the platform's service. */
  platform: Address<PlatformMessage>;
  /** Decides which hosts to move. */
  decideMoves: DecideMoves;
  /** Sends a message to a peer. */
  send: (to: string, message: PoolPeerMessage) => void;
  /** Publishes a record. */
  publish: (draft: DraftRecord) => void;
  /** The event log. */
  log: EventLog;
}

/** The task that owns the demand history of pools and publishes host moves. */
export class CapacityTask extends Task<CapacityMessage> {
  readonly #options: CapacityTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #demands = PoolDemands.create();
  #regrets: ReadonlyMap<string, PoolRegret> = new Map();
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;
  #ticks = 0;
  #responsibleTicks = 0;
  #publishedMoves = 0;

  private constructor(options: CapacityTaskOptions) {
    super({ name: "capacity" });
    this.#options = options;
    this.#timer = setInterval(() => this.post({ kind: "capacity-tick" }), options.tickMilliseconds);
  }

  /** Creates the task and starts its ticks. */
  static create(options: CapacityTaskOptions): CapacityTask {
    return new CapacityTask(options);
  }

  protected override receive(message: CapacityMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        this.#fleet = message.fleet;
        return;
      case "standing-changed":
        this.#grant = message.grant;
        return;
      case "log-read":
        return;
      case "capacity-tick":
        return this.#tick();
      case "busy-hosts-found":
        return this.#handleBusyHosts(message.busy);
      case "peer":
        return this.#demands.setDemand(message.from, message.message.slots);
      case "hosts-listed":
        return this.#publishMoves(message.moves, message.result);
    }
  }

  override getState(): unknown {
    return {
      moves: this.#publishedMoves,
      ownTicks: this.#responsibleTicks,
      regrets: Object.fromEntries(this.#regrets),
    };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
  }

  #tick(): void {
    this.#ticks += 1;
    if (this.#fleet === undefined || !hasSparePool(this.#fleet)) return;
    this.#options.dispatch.post({
      kind: "get-busy-hosts",
      reply: (busy) => this.post({ kind: "busy-hosts-found", busy }),
    });
  }

  /** Sends the slots that this member has in use to the responsible member, or decides if it is this one. */
  #handleBusyHosts(busy: BusyHosts): void {
    const fleet = this.#fleet as Fleet;
    const members = fleet.getMembers().map((member) => member.getId());
    const responsible = getFirstByRendezvous(CAPACITY_KEY, members);
    const slots = countSlots(fleet, busy);
    if (responsible === this.#options.memberId) {
      this.#demands.setDemand(responsible, slots);
      return this.#decide(fleet, members);
    }
    this.#responsibleTicks = 0;
    if (responsible !== undefined && slots.length > 0) {
      this.#options.send(responsible, { kind: "pool-demand", slots });
    }
  }

  /** Adds a sample of the demand; moves nothing until there are samples for a complete window. */
  #decide(fleet: Fleet, members: readonly string[]): void {
    this.#responsibleTicks += 1;
    this.#demands.addSample(members);
    if (this.#responsibleTicks % TICKS_PER_WINDOW === 0) this.#demands.rotate();
    const now = this.#options.clock.getElapsed();
    if (this.#responsibleTicks < TICKS_PER_WINDOW) return;
    if (getStandingAt(this.#grant, now) !== Standing.Current) return;
    const seconds = this.#options.tickMilliseconds / 1_000;
    const pools = createPoolNeeds(fleet, this.#demands);
    const decision = this.#options.decideMoves({ seconds, pools, regrets: this.#regrets });
    this.#regrets = decision.regrets;
    if (decision.moves.length === 0) return;
    this.#options.platform.post({
      kind: "list-hosts",
      reply: (result) => this.post({ kind: "hosts-listed", moves: decision.moves, result }),
    });
  }

  /**
   * Publishes drains with a destination. The drain task of the member responsible for the host
   * completes each move.
   */
  #publishMoves(moves: readonly HostMove[], result: ListResult): void {
    const fleet = this.#fleet as Fleet;
    if (result.outcome === "failed") return;
    const lostHosts = LostHostIndex.create(
      fleet,
      new Map(result.hosts.map((host) => [host.host, host])),
    );
    for (const move of moves) {
      const host = fleet.getHost(move.host)?.getData();
      if (host === undefined) continue;
      const id = createRecordId(["capacity", move.host, move.to, String(fleet.offset)]);
      const body = {
        host: move.host,
        pool: move.from,
        lost: lostHosts.getNamesForHost(host),
        destination: move.to,
      };
      const { memberId: author } = this.#options;
      this.#options.publish({
        id,
        kind: PoolMembershipRecordKind.Drained,
        version: 1,
        author,
        body,
      });
      this.#options.log("host-move-published", { ...move });
      this.#publishedMoves += 1;
    }
  }
}

function countSlots(fleet: Fleet, busy: BusyHosts): PoolSlotDemand[] {
  const byPool = new Map<string, number>();
  for (const [name, running] of busy.running) {
    const pool = fleet.tables.hosts.get(name)?.pool;
    if (pool !== undefined) byPool.set(pool, (byPool.get(pool) ?? 0) + running);
  }
  return [...byPool].map(([pool, slots]) => ({ pool, slots }));
}
