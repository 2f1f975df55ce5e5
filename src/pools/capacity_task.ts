/** Moves spares to pools that need them, wherever the roster names this member for it. */

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
import { MembershipRecordKind } from "./membership_records.ts";
import type { DecideMoves, HostMove, PoolRegret } from "./move_decision.ts";
import { PoolDemands, type PoolSlotDemand } from "./pool_demands.ts";
import { createPoolNeeds, hasSparePool } from "./pool_needs.ts";
import type { CapacityMessage, PoolPeerMessage } from "./pool_messages.ts";

/** The key by which the roster names the member that moves spares. */
const CAPACITY_KEY = "capacity";

/** The ticks of one window of the history of demand. */
const TICKS_PER_WINDOW = 60;

/** Options of a `CapacityTask`. */
export interface CapacityTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The clock of elapsed time. */
  clock: ElapsedClock;
  /** The time between two decisions. */
  tickMilliseconds: number;
  /** The dispatch, which knows the requests that run. */
  dispatch: Address<DispatchMessage>;
  /** The platform's service. */
  platform: Address<PlatformMessage>;
  /** Decides which hosts move. */
  decideMoves: DecideMoves;
  /** Sends a message to a peer. */
  send: (to: string, message: PoolPeerMessage) => void;
  /** Publishes a record. */
  publish: (draft: DraftRecord) => void;
  /** The log of events. */
  log: EventLog;
}

/** Owns what this member knows of the demand of pools. */
export class CapacityTask extends Task<CapacityMessage> {
  readonly #options: CapacityTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #demands = PoolDemands.create();
  #regrets: ReadonlyMap<string, PoolRegret> = new Map();
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;
  #ticks = 0;
  #ownTicks = 0;
  #moves = 0;

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
        return this.#state(message.busy);
      case "peer":
        return this.#demands.setDemand(message.from, message.message.slots);
      case "hosts-listed":
        return this.#publishMoves(message.moves, message.result);
    }
  }

  override getState(): unknown {
    return {
      moves: this.#moves,
      ownTicks: this.#ownTicks,
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

  /** Tells the member that moves spares what this member has running, or takes it in and decides. */
  #state(busy: BusyHosts): void {
    const fleet = this.#fleet as Fleet;
    const members = fleet.getMembers().map((member) => member.getId());
    const responsible = getFirstByRendezvous(CAPACITY_KEY, members);
    const slots = countSlots(fleet, busy);
    if (responsible === this.#options.memberId) {
      this.#demands.setDemand(responsible, slots);
      return this.#decide(fleet, members);
    }
    this.#ownTicks = 0;
    if (responsible !== undefined && slots.length > 0) {
      this.#options.send(responsible, { kind: "pool-demand", slots });
    }
  }

  /** Decides nothing until a whole window of demand was seen. */
  #decide(fleet: Fleet, members: readonly string[]): void {
    this.#ownTicks += 1;
    this.#demands.addSample(members);
    if (this.#ownTicks % TICKS_PER_WINDOW === 0) this.#demands.rotate();
    const now = this.#options.clock.getElapsed();
    if (this.#ownTicks < TICKS_PER_WINDOW) return;
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

  /** Publishes drains with a destination; the drain task of some member completes each move. */
  #publishMoves(moves: readonly HostMove[], result: ListResult): void {
    const fleet = this.#fleet as Fleet;
    if (result.outcome === "failed") return;
    const index = LostHostIndex.create(
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
        lost: index.getNamesForHost(host),
        destination: move.to,
      };
      const { memberId: author } = this.#options;
      this.#options.publish({ id, kind: MembershipRecordKind.Drained, version: 1, author, body });
      this.#options.log("host-move-published", { ...move });
      this.#moves += 1;
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
