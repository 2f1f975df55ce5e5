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
import { allowExceeding } from "./dispatch_pool.ts";
import { isReleasedBy, type ReleaseDecision } from "./dispatch_running.ts";
import { Dispatcher } from "./dispatcher.ts";

const SECRET = "a-secret-of-enough-characters";
const MEMBER = "entry-1";
const MAXIMUM_RUN_MILLISECONDS = 2_000;

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
    longestRunMilliseconds: MAXIMUM_RUN_MILLISECONDS,
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

/** Simulates a dispatcher that is the only member, with its decisions as lines of text. */
class DispatcherSimulation {
  readonly lines: string[] = [];
  readonly #keeper = Keeper.create({ memberId: MEMBER, rules: LOAN_RULES });
  readonly #dispatcher: Dispatcher;
  #fleet = fold(Fleet.createEmpty(), BODIES);
  #now = 0;

  private constructor(isReleased: ReleaseDecision) {
    this.#dispatcher = Dispatcher.create({
      memberId: MEMBER,
      zone: "zululand-a",
      chooseExecutor: chooseLeastLoadedExecutor,
      isReleasedBy: isReleased,
      mayExceedAllotment: allowExceeding,
      random: () => 0.5,
    });
    const roster = { offset: 1, members: [MEMBER], departing: [] };
    this.#dispatcher.setFleet(this.#fleet, 0);
    this.#dispatcher.setRoster(roster, 0);
    this.#dispatcher.setStanding({ standing: Standing.Current, validUntil: 10_000 }, 0);
    this.#keeper.setCatalog(createLoanCatalog(this.#fleet), 0);
    this.#keeper.setRoster(roster, 0);
    this.advance(1_000);
  }

  static create(isReleased: ReleaseDecision = isReleasedBy): DispatcherSimulation {
    return new DispatcherSimulation(isReleased);
  }

  /** Sets the wall clock forward: elapsed time jumps, monotonic time does not. */
  setWallForward(milliseconds: number): this {
    this.lines.push(`${this.#now} wall clock set forward by ${milliseconds} ms`);
    this.#dispatcher.expire(this.#now + milliseconds);
    return this.#addDecisions();
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
      this.#addDecisions();
    }
    return this;
  }

  arrive(requestId: string, keyId = "old", deadline?: number, service = "tugdesk"): this {
    const presentedKey = `${keyId}.${SECRET}`;
    const until = deadline === undefined ? undefined : this.#now + deadline;
    const arrival = { requestId, service, presentedKey, deadline: until, triedExecutors: [] };
    this.#dispatcher.arrive(arrival, this.#now);
    return this.#addDecisions();
  }

  end(requestId: string, ending: Ending): this {
    this.lines.push(`${this.#now} ${requestId} ended: ${ending}`);
    this.#dispatcher.end(requestId, ending, this.#now);
    return this.#addDecisions();
  }

  cancel(requestId: string): this {
    this.lines.push(`${this.#now} ${requestId} cancelled`);
    this.#dispatcher.cancel(requestId, this.#now);
    return this.#addDecisions();
  }

  publish(kind: string, body: unknown): this {
    this.#fleet = fold(this.#fleet, [[kind, body]]);
    this.lines.push(`${this.#now} ${kind}`);
    this.#dispatcher.setFleet(this.#fleet, this.#now);
    this.#keeper.setCatalog(createLoanCatalog(this.#fleet), this.#now);
    return this.#addDecisions();
  }

  #addDecisions(): this {
    for (const { requestId, result } of this.#dispatcher.takeDecisions()) {
      const text = result.outcome === "started"
        ? `started on ${result.start.executor}`
        : `${result.refusal.reason}, ${result.refusal.outcome}`;
      this.lines.push(`${this.#now} ${requestId}: ${text}`);
    }
    return this;
  }
}

test("requests start by earliest deadline, and a full queue refuses requests", (t) => {
  const simulation = DispatcherSimulation.create().arrive("first").arrive("late", "old", 900)
    .arrive("early", "old", 500).arrive("middle", "old", 700).arrive("too-many")
    .advance(50).end("first", Ending.Completed).end("early", Ending.Completed);
  t.snapshot(simulation.lines);
});

test("a request that cannot meet its deadline is refused as not run", (t) => {
  const simulation = DispatcherSimulation.create().arrive("first").arrive("waits", "old", 100)
    .advance(200)
    .arrive("limit-zero", "port").arrive("no-host", "old", 100, "berthbook");
  t.snapshot(simulation.lines);
});

test("a cancelled request frees its place in the queue, but not a permit in use", (t) => {
  const simulation = DispatcherSimulation.create().arrive("runs").arrive("waits").cancel("waits")
    .cancel("runs")
    .arrive("next").advance(100).end("runs", Ending.Completed);
  t.snapshot(simulation.lines);
});

test("the permit of a request that may be running is held for the maximum run time", (t) => {
  const simulation = DispatcherSimulation.create().arrive("lost").end("lost", Ending.MayBeRunning)
    .arrive("next", "old", 5_000).advance(2_500);
  t.snapshot(simulation.lines);
});

test("the simulation detects a time-out that releases the permit", (t) => {
  const simulation = DispatcherSimulation.create(() => true).arrive("lost").end(
    "lost",
    Ending.MayBeRunning,
  )
    .arrive("next", "old", 5_000);
  t.snapshot(simulation.lines);
});

test("two keys of a team are valid at once, and withdrawing one refuses its waiting requests", (t) => {
  const simulation = DispatcherSimulation.create().arrive("by-old").arrive("old-waits", "old", 900)
    .arrive("new-waits", "new", 900).publish("key-withdrawn", { keyId: "old" })
    .end("by-old", Ending.Completed).arrive("old-again", "old");
  t.snapshot(simulation.lines);
});

test("no waiting request starts in a zone that was taken out", (t) => {
  const simulation = DispatcherSimulation.create().arrive("runs").arrive("waits", "old", 600)
    .publish("zone-taken-out", { zone: "zululand-a" }).end("runs", Ending.Completed)
    .advance(700).arrive("next");
  t.snapshot(simulation.lines);
});

test("a lowered limit stops new starts, and a raised one starts waiting requests", (t) => {
  const createProfile = (upperLimit: number) => ({
    profile: "tides",
    queueLength: 3,
    teams: [{ team: "mine-desk", share: 1, upperLimit }],
  });
  const simulation = DispatcherSimulation.create().arrive("one").publish(
    "profile-published",
    createProfile(0),
  )
    .arrive("refused").publish("profile-published", createProfile(2)).arrive("two").advance(100)
    .arrive("three").end("one", Ending.Completed);
  t.snapshot(simulation.lines);
});

test("an isolated entry host starts no waiting request", (t) => {
  const simulation = DispatcherSimulation.create().advance(8_000).arrive("runs").arrive(
    "waits",
    "old",
    5_000,
  )
    .advance(2_000).arrive("next");
  t.snapshot(simulation.lines);
});

test("a wall clock set forward releases no permit of a request that may be running", (t) => {
  const simulation = DispatcherSimulation.create()
    .arrive("first").end("first", Ending.MayBeRunning)
    .setWallForward(60_000)
    .arrive("second", "old", 800)
    .advance(900);
  t.snapshot(simulation.lines);
});
