import test from "ava";
import { Keeper } from "../contracts/loans/keeper.ts";
import { createLoanCatalog } from "../contracts/loans/loan_resource.ts";
import { LOAN_RULES } from "../contracts/loans/loan_rules.ts";
import { Standing } from "../contracts/standing.ts";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { chooseLeastLoadedExecutor } from "../machines/executor_choice.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import { hashSecret } from "../teams/key_secret.ts";
import { Ending } from "./dispatch_messages.ts";
import { allowBorrowing } from "./dispatch_pool.ts";
import { isReleasedBy, type ReleaseDecision } from "./dispatch_running.ts";
import { Dispatcher } from "./dispatcher.ts";

const SECRET = "a-secret-of-enough-characters";
const MEMBER = "entry-1";
const LONGEST_RUN_MILLISECONDS = 2_000;

const EXECUTOR = {
  host: "tugdesk-1",
  kind: "executor",
  pool: "tugdesk",
  zone: "zululand-a",
  rack: "a-1",
  address: "127.0.0.1:1",
  slots: 2,
  connections: 64,
  cores: 4,
  memoryGigabytes: 16,
  accelerators: 0,
};

const BODIES: [kind: string, body: unknown][] = [
  ["profile-published", {
    profile: "tides",
    queueLength: 3,
    deadlineMilliseconds: 1_000,
    longestRunMilliseconds: LONGEST_RUN_MILLISECONDS,
    teams: [
      { team: "mine-desk", share: 1, upperLimit: 1 },
      { team: "port-desk", share: 1, upperLimit: 0 },
    ],
  }],
  ["profile-picked", { service: "tugdesk", profile: "tides" }],
  ["profile-picked", { service: "berthbook", profile: "tides" }],
  ["host-enrolled", EXECUTOR],
  ["key-granted", { keyId: "old", team: "mine-desk", secretHash: hashSecret(SECRET) }],
  ["key-granted", { keyId: "new", team: "mine-desk", secretHash: hashSecret(SECRET) }],
  ["key-granted", { keyId: "port", team: "port-desk", secretHash: hashSecret(SECRET) }],
];

function fold(fleet: Fleet, bodies: [kind: string, body: unknown][]): Fleet {
  const records = bodies.map(([kind, body], index) => {
    const offset = fleet.offset + 1 + index;
    return { offset, id: `r${offset}`, kind, version: 1, author: "operator", body };
  });
  return foldRecords(fleet, records, RECORD_RULES).fleet;
}

/** A dispatcher that is the only member, with what it decided, one line for each decision. */
class Session {
  readonly lines: string[] = [];
  readonly #keeper = Keeper.create({ memberId: MEMBER, rules: LOAN_RULES });
  readonly #dispatcher: Dispatcher;
  #fleet = fold(Fleet.createEmpty(), BODIES);
  #now = 0;

  private constructor(released: ReleaseDecision) {
    this.#dispatcher = Dispatcher.create({
      memberId: MEMBER,
      zone: "zululand-a",
      chooseExecutor: chooseLeastLoadedExecutor,
      isReleasedBy: released,
      mayBorrow: allowBorrowing,
      random: () => 0.5,
    });
    const roster = { offset: 1, members: [MEMBER], departing: [] };
    this.#dispatcher.setFleet(this.#fleet, 0);
    this.#dispatcher.setRoster(roster, 0);
    this.#dispatcher.setStanding({ standing: Standing.Current, validUntil: 10_000 }, 0);
    this.#keeper.setCatalog(createLoanCatalog(this.#fleet), 0);
    this.#keeper.adoptRoster(roster, 0);
    this.advance(1_000);
  }

  static create(released: ReleaseDecision = isReleasedBy): Session {
    return new Session(released);
  }

  /** Sets the wall clock forward: elapsed time jumps, monotonic time does not. */
  setWallForward(milliseconds: number): this {
    this.lines.push(`${this.#now} wall clock set forward by ${milliseconds} ms`);
    this.#dispatcher.expire(this.#now + milliseconds);
    return this.#note();
  }

  advance(milliseconds: number): this {
    for (let passed = 0; passed < milliseconds; passed += 10) {
      this.#now += 10;
      this.#dispatcher.getRunning().setMonotonicTime(this.#now);
      this.#dispatcher.expire(this.#now);
      for (const { statement } of this.#dispatcher.getHolder().takeStatements(this.#now)) {
        this.#keeper.receiveStatement(MEMBER, statement, this.#now);
      }
      for (const { message } of this.#keeper.takeMessages(this.#now)) {
        if (message.kind === "loan-lend") this.#dispatcher.receiveLoan(MEMBER, message, this.#now);
      }
      this.#note();
    }
    return this;
  }

  arrive(requestId: string, keyId = "old", deadline?: number, service = "tugdesk"): this {
    const presentedKey = `${keyId}.${SECRET}`;
    const until = deadline === undefined ? undefined : this.#now + deadline;
    const arrival = { requestId, service, presentedKey, deadline: until, triedExecutors: [] };
    this.#dispatcher.arrive(arrival, this.#now);
    return this.#note();
  }

  end(requestId: string, ending: Ending): this {
    this.lines.push(`${this.#now} ${requestId} ended: ${ending}`);
    this.#dispatcher.end(requestId, ending, this.#now);
    return this.#note();
  }

  cancel(requestId: string): this {
    this.lines.push(`${this.#now} ${requestId} cancelled`);
    this.#dispatcher.cancel(requestId, this.#now);
    return this.#note();
  }

  publish(kind: string, body: unknown): this {
    this.#fleet = fold(this.#fleet, [[kind, body]]);
    this.lines.push(`${this.#now} ${kind}`);
    this.#dispatcher.setFleet(this.#fleet, this.#now);
    this.#keeper.setCatalog(createLoanCatalog(this.#fleet), this.#now);
    return this.#note();
  }

  #note(): this {
    for (const { requestId, result } of this.#dispatcher.takeDecisions()) {
      const text = result.outcome === "started"
        ? `started on ${result.start.executor}`
        : `${result.refusal.reason}, ${result.refusal.outcome}`;
      this.lines.push(`${this.#now} ${requestId}: ${text}`);
    }
    return this;
  }
}

test("the earliest deadline goes first, and a full queue refuses", (t) => {
  const session = Session.create().arrive("first").arrive("late", "old", 900)
    .arrive("early", "old", 500).arrive("middle", "old", 700).arrive("too-many")
    .advance(50).end("first", Ending.Completed).end("early", Ending.Completed);
  t.snapshot(session.lines);
});

test("a request that cannot meet its deadline is refused, and it did not run", (t) => {
  const session = Session.create().arrive("first").arrive("waits", "old", 100).advance(200)
    .arrive("limit-zero", "port").arrive("no-host", "old", 100, "berthbook");
  t.snapshot(session.lines);
});

test("a cancelled request frees its place in the queue, but not a permit in use", (t) => {
  const session = Session.create().arrive("runs").arrive("waits").cancel("waits").cancel("runs")
    .arrive("next").advance(100).end("runs", Ending.Completed);
  t.snapshot(session.lines);
});

test("a permit whose work may be running is held for the longest run", (t) => {
  const session = Session.create().arrive("lost").end("lost", Ending.MayBeRunning)
    .arrive("next", "old", 5_000).advance(2_500);
  t.snapshot(session.lines);
});

test("the check finds a time-out that frees the permit", (t) => {
  const session = Session.create(() => true).arrive("lost").end("lost", Ending.MayBeRunning)
    .arrive("next", "old", 5_000);
  t.snapshot(session.lines);
});

test("two keys overlap; one that is withdrawn stops what still waits for it", (t) => {
  const session = Session.create().arrive("by-old").arrive("old-waits", "old", 900)
    .arrive("new-waits", "new", 900).publish("key-withdrawn", { keyId: "old" })
    .end("by-old", Ending.Completed).arrive("old-again", "old");
  t.snapshot(session.lines);
});

test("a zone that is taken out starts nothing that waited", (t) => {
  const session = Session.create().arrive("runs").arrive("waits", "old", 600)
    .publish("zone-taken-out", { zone: "zululand-a" }).end("runs", Ending.Completed)
    .advance(700).arrive("next");
  t.snapshot(session.lines);
});

test("a lowered limit starts nothing new, and a raised one starts what waits", (t) => {
  const lower = (upperLimit: number) => ({
    profile: "tides",
    queueLength: 3,
    teams: [{ team: "mine-desk", share: 1, upperLimit }],
  });
  const session = Session.create().arrive("one").publish("profile-published", lower(0))
    .arrive("refused").publish("profile-published", lower(2)).arrive("two").advance(100)
    .arrive("three").end("one", Ending.Completed);
  t.snapshot(session.lines);
});

test("an entry host that is isolated starts nothing that waits", (t) => {
  const session = Session.create().advance(8_000).arrive("runs").arrive("waits", "old", 5_000)
    .advance(2_000).arrive("next");
  t.snapshot(session.lines);
});

test("a wall clock set forward frees no permit whose work may be running", (t) => {
  const session = Session.create()
    .arrive("first").end("first", Ending.MayBeRunning)
    .setWallForward(60_000)
    .arrive("second", "old", 800)
    .advance(900);
  t.snapshot(session.lines);
});
