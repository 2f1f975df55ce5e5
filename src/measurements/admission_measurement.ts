/** Measures how long dispatch takes to decide on a request at the projected fleet size. */

import { build } from "hdr-histogram-js";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { chooseLeastLoadedExecutor } from "../machines/executor_choice.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { LogRecord } from "../records/record.ts";
import { Ending } from "../requests/dispatch_messages.ts";
import { Dispatcher } from "../requests/dispatcher.ts";
import { allowExceeding } from "../requests/dispatch_pool.ts";
import { isReleasedBy } from "../requests/dispatch_running.ts";
import { Standing } from "../contracts/standing.ts";
import { hashSecret } from "../teams/key_secret.ts";
import { Keeper } from "../contracts/loans/keeper.ts";
import { createLoanCatalog } from "../contracts/loans/loan_resource.ts";
import { LOAN_RULES } from "../contracts/loans/loan_rules.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

const TEAMS = 330;
const POOLS = 83;
const EXECUTORS_PER_POOL = 8;
const TEAMS_PER_PROFILE = 40;
const SECRET = "a-secret-of-enough-characters";
const MEMBER_ID = "entry-1";

/** Bound on the 99th percentile. */
const BOUND_MICROSECONDS = 50;

/** Measurement `admission`. */
export const ADMISSION_MEASUREMENT: Measurement = { name: "admission", run: measureAdmission };

function measureAdmission(options: MeasurementOptions): Promise<MeasurementTable[]> {
  const fleet = foldRecords(Fleet.createEmpty(), createRecords(), RECORD_RULES).fleet;
  const requests = options.isQuick ? 20_000 : 200_000;
  const rows = [
    measure("permits and slots at hand", fleet, requests, 1),
    measure("64 more wait in each queue", fleet, requests, 64),
  ];
  const title = `Admission with ${TEAMS} teams and ${POOLS} pools ` +
    `(99th percentile under ${BOUND_MICROSECONDS} microseconds)`;
  const columns = ["case", "requests", "median us", "99% us", "99.9% us", "within bound"];
  return Promise.resolve([{ title, columns, rows, brokenInvariants: [] }]);
}

/** Submits and ends requests; with a `depth` above 1, `depth * 4` are submitted before the first one ends. */
function measure(name: string, fleet: Fleet, requests: number, depth: number) {
  const dispatcher = createDispatcher(fleet);
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const submitted: string[] = [];
  const started: string[] = [];
  for (let index = 0; index < requests; index += 1) {
    const now = index / 10;
    const requestId = `r${index}`;
    const pool = depth === 1 ? index % POOLS : index % 4;
    const team = pool % 8 + 8 * (index % (TEAMS_PER_PROFILE / 8));
    const arrival = {
      requestId,
      service: `pool-${pool}`,
      presentedKey: `key-${team}.${SECRET}`,
      deadline: now + 3_600_000,
      triedExecutors: [],
    };
    const before = process.hrtime.bigint();
    dispatcher.arrive(arrival, now);
    const nanoseconds = Number(process.hrtime.bigint() - before);
    if (index > requests / 10) histogram.recordValue(nanoseconds);
    submitted.push(requestId);
    for (const { requestId: id, result } of dispatcher.takeDecisions()) {
      if (result.outcome === "started") started.push(id);
    }
    if (submitted.length < depth * 4) {
      if (depth > 1) continue;
    }
    const ended = started.shift();
    if (ended !== undefined) dispatcher.end(ended, Ending.Completed, now);
  }
  const [median, high, highest] = [50, 99, 99.9].map((percent) =>
    Math.round(histogram.getValueAtPercentile(percent) / 100) / 10
  ) as [number, number, number];
  const isWithin = high < BOUND_MICROSECONDS ? "yes" : "MISSED";
  return [name, requests, median, high, highest, isWithin];
}

/** Creates a dispatcher that is the only member and therefore holds every permit. */
function createDispatcher(fleet: Fleet): Dispatcher {
  const dispatcher = Dispatcher.create({
    memberId: MEMBER_ID,
    zone: "zone-0",
    chooseExecutor: chooseLeastLoadedExecutor,
    isReleasedBy,
    mayExceedAllotment: allowExceeding,
    random: () => 0.5,
  });
  const keeper = Keeper.create({ memberId: MEMBER_ID, rules: LOAN_RULES });
  const roster = { offset: 1, members: [MEMBER_ID], departing: [] };
  dispatcher.setFleet(fleet, 0);
  dispatcher.setRoster(roster, 0);
  dispatcher.setStanding({ standing: Standing.Current, validUntil: Infinity }, 0);
  keeper.setCatalog(createLoanCatalog(fleet), 0);
  keeper.setRoster(roster, 0);
  for (const { statement } of dispatcher.getHolder().takeStatements(0)) {
    keeper.receiveStatement(MEMBER_ID, statement, 0);
  }
  for (const { message } of keeper.takeMessages(0)) {
    if (message.kind === "loan-lend") dispatcher.receiveLoan(MEMBER_ID, message, 0);
  }
  return dispatcher;
}

function createRecords(): LogRecord[] {
  const bodies: [kind: string, body: unknown][] = [];
  for (let profile = 0; profile < 8; profile += 1) {
    const teams = Array.from({ length: TEAMS }, (_, team) => team)
      .filter((team) => team % 8 === profile)
      .map((team) => ({ team: `team-${team}`, share: 1 + team % 3, upperLimit: 40 }));
    bodies.push(["profile-published", { profile: `profile-${profile}`, teams }]);
  }
  for (let pool = 0; pool < POOLS; pool += 1) {
    bodies.push(["profile-picked", { service: `pool-${pool}`, profile: `profile-${pool % 8}` }]);
    for (let index = 0; index < EXECUTORS_PER_POOL; index += 1) {
      bodies.push(["host-enrolled", createExecutor(pool, index)]);
    }
  }
  for (let team = 0; team < TEAMS; team += 1) {
    const secretHash = hashSecret(SECRET);
    bodies.push(["key-granted", { keyId: `key-${team}`, team: `team-${team}`, secretHash }]);
  }
  return bodies.map(([kind, body], offset) => ({
    offset,
    id: `r${offset}`,
    kind,
    version: 1,
    author: "operator",
    body,
  }));
}

function createExecutor(pool: number, index: number) {
  return {
    host: `executor-${pool}-${index}`,
    kind: "executor",
    pool: `pool-${pool}`,
    zone: `zone-${index % 4}`,
    rack: `rack-${index % 4}`,
    address: "127.0.0.1:1",
    slots: 8,
    connections: 64,
    cores: 32,
    memoryGigabytes: 128,
    accelerators: 0,
  };
}
