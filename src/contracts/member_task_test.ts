import test from "ava";
import FakeTimers from "@sinonjs/fake-timers";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { PlatformMessage } from "../records/platform_messages.ts";
import type { DraftRecord } from "../records/record.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { MemberTask } from "./member_task.ts";
import { getStandingAt, type StandingGrant } from "./standing.ts";

/** The time between two heartbeats and two reads of the log. */
const INTERVAL_MILLISECONDS = 500;

/** Member tasks on a fake clock, with a log and links in memory. */
class MemberSimulation {
  readonly events: string[] = [];
  /** The members that can reach neither the log nor a peer. */
  readonly disconnected = new Set<string>();
  /** The entry hosts that the platform lists. */
  readonly listed = new Set<string>();
  isLogDown = false;
  readonly #timers = FakeTimers.install({
    toFake: ["setInterval", "clearInterval", "performance", "Date"],
  });
  readonly #clock = ElapsedClock.create();
  readonly #start = performance.now();
  readonly #tasks = new Map<string, MemberTask>();
  readonly #grants = new Map<string, StandingGrant>();
  #fleet = Fleet.createEmpty();

  static create(memberIds: readonly string[]): MemberSimulation {
    const simulation = new MemberSimulation();
    for (const memberId of memberIds) simulation.add(memberId);
    return simulation;
  }

  add(memberId: string): void {
    this.listed.add(memberId);
    this.#tasks.set(memberId, this.#createTask(memberId));
    const address = `${memberId}:1`;
    const addresses = { peerAddress: address, operatorAddress: address, callerAddress: address };
    const body = { memberId, entryHost: memberId, zone: "z", ...addresses };
    this.#publish({ id: memberId, kind: "member-joined", version: 1, author: memberId, body });
    setInterval(() => this.#read(memberId), INTERVAL_MILLISECONDS);
  }

  /** Crashes a process. */
  kill(memberId: string): void {
    this.#tasks.get(memberId)?.stop();
    this.#tasks.delete(memberId);
    this.#grants.delete(memberId);
  }

  async advanceTime(milliseconds: number): Promise<void> {
    await this.#timers.tickAsync(milliseconds);
  }

  /** Advances only the wall clock, as on a machine that was suspended. */
  suspend(milliseconds: number): void {
    this.#timers.setSystemTime(Date.now() + milliseconds);
  }

  getTask(memberId: string): MemberTask | undefined {
    return this.#tasks.get(memberId);
  }

  getStandings(): string {
    const now = this.#clock.getElapsed();
    const standings = [...this.#tasks.keys()].map((memberId) =>
      `${memberId} ${getStandingAt(this.#grants.get(memberId), now)}`
    );
    return `${this.#getTime()} ${standings.join(", ")}`;
  }

  stop(): void {
    for (const task of this.#tasks.values()) task.stop();
    this.#timers.uninstall();
  }

  #createTask(memberId: string): MemberTask {
    return MemberTask.create({
      memberId,
      clock: this.#clock,
      getMonotonicTime: () => performance.now(),
      heartbeatIntervalMilliseconds: INTERVAL_MILLISECONDS,
      platform: { post: (message) => this.#answer(memberId, message) },
      notify: (event) => {
        if (event.kind === "standing-changed") this.#grants.set(memberId, event.grant);
      },
      send: (to, message) => {
        if (this.disconnected.has(memberId) || this.disconnected.has(to)) return;
        this.#tasks.get(to)?.post({ kind: "peer", from: memberId, message });
      },
      reportPeerAhead: () => undefined,
      publish: (draft) => this.#publish(draft),
      reportRemoval: () => undefined,
      log: (event, fields) => {
        const pairs = Object.entries(fields ?? {}).filter(([, value]) => value !== undefined);
        const text = pairs.map(([name, value]) => `${name}=${value}`).join(" ");
        this.events.push(`${this.#getTime()} ${memberId} ${event} ${text}`);
      },
    });
  }

  #getTime(): string {
    return `${Math.round(performance.now() - this.#start)} ms`;
  }

  #publish(draft: DraftRecord): void {
    const record = { ...draft, offset: this.#fleet.offset + 1 };
    this.#fleet = foldRecords(this.#fleet, [record], RECORD_RULES).fleet;
  }

  #read(memberId: string): void {
    const task = this.#tasks.get(memberId);
    if (task === undefined || this.isLogDown || this.disconnected.has(memberId)) return;
    const { offset } = this.#fleet;
    const startedAt = this.#clock.getElapsed();
    task.post({ kind: "fleet-changed", fleet: this.#fleet });
    task.post({ kind: "log-read", startedAt, head: offset + 1, offset });
  }

  #answer(memberId: string, message: PlatformMessage): boolean {
    if (message.kind !== "list-hosts" || this.isLogDown || this.disconnected.has(memberId)) {
      return true;
    }
    const hosts = [...this.listed].map((host) => ({ host })) as never[];
    message.reply({ outcome: "listed", startedAt: this.#clock.getElapsed(), hosts });
    return true;
  }
}

test.serial("members keep working while the log is down, and a member cut off alone is isolated", async (t) => {
  const simulation = MemberSimulation.create(["a", "b", "c"]);
  const standings: string[] = [];
  const advance = async (milliseconds: number) => {
    await simulation.advanceTime(milliseconds);
    standings.push(simulation.getStandings());
  };
  await advance(3_000);
  simulation.isLogDown = true;
  for (let count = 0; count < 5; count += 1) await advance(2_000);
  simulation.disconnected.add("c");
  for (let count = 0; count < 4; count += 1) await advance(1_000);
  simulation.isLogDown = false;
  await advance(3_000);
  simulation.disconnected.clear();
  await advance(1_000);
  t.snapshot({ standings, events: simulation.events });
  simulation.stop();
});

test.serial("a crashed member is removed, and its removal comes into force", async (t) => {
  const simulation = MemberSimulation.create(["a", "b", "c"]);
  await simulation.advanceTime(3_000);
  const before = simulation.events.length;
  simulation.kill("c");
  await simulation.advanceTime(12_000);
  t.snapshot({
    events: simulation.events.slice(before),
    state: simulation.getTask("a")?.getState(),
  });
  simulation.stop();
});

test.serial("seven of eight members lost at once are removed after the platform stops listing them", async (t) => {
  const memberIds = ["a", "b", "c", "d", "e", "f", "g", "h"];
  const simulation = MemberSimulation.create(memberIds);
  await simulation.advanceTime(75_000);
  const before = simulation.events.length;
  for (const memberId of memberIds.slice(1)) simulation.kill(memberId);
  await simulation.advanceTime(30_000);
  const unlisted = simulation.events.length;
  for (const memberId of memberIds.slice(1)) simulation.listed.delete(memberId);
  await simulation.advanceTime(40_000);
  t.snapshot({
    whileListed: simulation.events.slice(before, unlisted),
    unlisted: simulation.events.slice(unlisted),
    state: simulation.getTask("a")?.getState(),
  });
  simulation.stop();
});

test.serial("a process is isolated when its machine resumes from suspension", async (t) => {
  const simulation = MemberSimulation.create(["a"]);
  await simulation.advanceTime(2_000);
  const before = simulation.getStandings();
  simulation.suspend(10_000);
  t.snapshot([before, simulation.getStandings()]);
  simulation.stop();
});
