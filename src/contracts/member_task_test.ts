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
const INTERVAL = 500;

/** Member tasks on the paused clock of the runtime, with a log and links in memory. */
class TestRoster {
  readonly events: string[] = [];
  /** The members that reach neither the log nor a peer. */
  readonly cut = new Set<string>();
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

  static create(memberIds: readonly string[]): TestRoster {
    const roster = new TestRoster();
    for (const memberId of memberIds) roster.add(memberId);
    return roster;
  }

  add(memberId: string): void {
    this.listed.add(memberId);
    this.#tasks.set(memberId, this.#createTask(memberId));
    const address = `${memberId}:1`;
    const addresses = { peerAddress: address, operatorAddress: address, callerAddress: address };
    const body = { memberId, entryHost: memberId, zone: "z", ...addresses };
    this.#publish({ id: memberId, kind: "member-joined", version: 1, author: memberId, body });
    setInterval(() => this.#read(memberId), INTERVAL);
  }

  /** Ends a process without notice. */
  kill(memberId: string): void {
    this.#tasks.get(memberId)?.stop();
    this.#tasks.delete(memberId);
    this.#grants.delete(memberId);
  }

  async pass(milliseconds: number): Promise<void> {
    await this.#timers.tickAsync(milliseconds);
  }

  /** Advances the wall clock only, as a machine sees it that was suspended. */
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
      heartbeatIntervalMilliseconds: INTERVAL,
      platform: { post: (message) => this.#answer(memberId, message) },
      notify: (event) => {
        if (event.kind === "standing-changed") this.#grants.set(memberId, event.grant);
      },
      send: (to, message) => {
        if (this.cut.has(memberId) || this.cut.has(to)) return;
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
    if (task === undefined || this.isLogDown || this.cut.has(memberId)) return;
    const { offset } = this.#fleet;
    const startedAt = this.#clock.getElapsed();
    task.post({ kind: "fleet-changed", fleet: this.#fleet });
    task.post({ kind: "log-read", startedAt, head: offset + 1, offset });
  }

  #answer(memberId: string, message: PlatformMessage): boolean {
    if (message.kind !== "list-hosts" || this.isLogDown || this.cut.has(memberId)) return true;
    const hosts = [...this.listed].map((host) => ({ host })) as never[];
    message.reply({ outcome: "listed", startedAt: this.#clock.getElapsed(), hosts });
    return true;
  }
}

test.serial("an outage of the log leaves members at work, and a member cut off by itself not", async (t) => {
  const roster = TestRoster.create(["a", "b", "c"]);
  const standings: string[] = [];
  const passAndNote = async (milliseconds: number) => {
    await roster.pass(milliseconds);
    standings.push(roster.getStandings());
  };
  await passAndNote(3_000);
  roster.isLogDown = true;
  for (let count = 0; count < 5; count += 1) await passAndNote(2_000);
  roster.cut.add("c");
  for (let count = 0; count < 4; count += 1) await passAndNote(1_000);
  roster.isLogDown = false;
  await passAndNote(3_000);
  roster.cut.clear();
  await passAndNote(1_000);
  t.snapshot({ standings, events: roster.events });
  roster.stop();
});

test.serial("a dead member is removed, and its removal comes in force", async (t) => {
  const roster = TestRoster.create(["a", "b", "c"]);
  await roster.pass(3_000);
  const before = roster.events.length;
  roster.kill("c");
  await roster.pass(12_000);
  t.snapshot({ events: roster.events.slice(before), state: roster.getTask("a")?.getState() });
  roster.stop();
});

test.serial("seven of eight lost at once depart when the platform lists them no more", async (t) => {
  const memberIds = ["a", "b", "c", "d", "e", "f", "g", "h"];
  const roster = TestRoster.create(memberIds);
  await roster.pass(75_000);
  const before = roster.events.length;
  for (const memberId of memberIds.slice(1)) roster.kill(memberId);
  await roster.pass(30_000);
  const unlisted = roster.events.length;
  for (const memberId of memberIds.slice(1)) roster.listed.delete(memberId);
  await roster.pass(40_000);
  t.snapshot({
    whileListed: roster.events.slice(before, unlisted),
    unlisted: roster.events.slice(unlisted),
    state: roster.getTask("a")?.getState(),
  });
  roster.stop();
});

test.serial("a process whose machine was suspended is isolated when it wakes", async (t) => {
  const roster = TestRoster.create(["a"]);
  await roster.pass(2_000);
  const before = roster.getStandings();
  roster.suspend(10_000);
  t.snapshot([before, roster.getStandings()]);
  roster.stop();
});
