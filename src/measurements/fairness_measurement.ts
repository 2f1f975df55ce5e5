/** Measures how closely each team's running requests match its weighted max-min share of a full pool. */

import { LOAN_RULES } from "../contracts/loans/loan_rules.ts";
import { allowExceeding, type MayExceedAllotment } from "../requests/dispatch_pool.ts";
import type { DivideShares } from "../teams/share_allocator.ts";
import { divideMaxMin, divideWithoutBorrowing } from "../teams/weighted_max_min.ts";
import { LoanFleetSimulation } from "./loan_fleet_simulation.ts";
import { createLoanFleet, FLEET_SERVICE, getPresentedKey } from "./create_loan_fleet.ts";
import type {
  Measurement,
  MeasurementCell,
  MeasurementOptions,
  MeasurementTable,
} from "./measurement.ts";

const HOSTS = 8;
const EXECUTORS = 8;
const SLOTS = 64;
const SERVICE_MILLISECONDS = 20;
const WARM_UP_MILLISECONDS = 4_000;
const WINDOW_MILLISECONDS = 2_000;
const SHARES = [1, 1, 2, 3, 4, 5];

/** Bound on the deviation from a share, as a fraction of the share. */
const MAXIMUM_DEVIATION = 0.05;

/** Gets the number of concurrent requests of a team at a host. */
type GetDemand = (team: number, host: number) => number;

const CASES: [name: string, getDemand: GetDemand][] = [
  ["every team at every host", () => 8],
  ["each team at two hosts", (team, host) => host % 4 === team % 4 ? 24 : 0],
  ["one team wants 2 slots", (team) => team === 4 ? 0.25 : 8],
  ["the largest team is idle", (team) => team === 5 ? 0 : 8],
];

/** Measurement `fairness`. */
export const FAIRNESS_MEASUREMENT: Measurement = { name: "fairness", run: measureFairness };

/** Minimum share in slots: without borrowing, a team may always run one request. */
const MINIMUM_SHARE_SLOTS = 1;

const POLICIES: [name: string, divide: DivideShares, mayBorrow: MayExceedAllotment][] = [
  ["max-min", divideMaxMin, allowExceeding],
  [
    "no borrowing",
    divideWithoutBorrowing,
    (running, share) => running < Math.max(MINIMUM_SHARE_SLOTS, Math.round(share)),
  ],
];

function measureFairness(options: MeasurementOptions): Promise<MeasurementTable[]> {
  const totals: MeasurementCell[][] = [];
  const rows = POLICIES.flatMap(([policy, divide, mayBorrow]) =>
    CASES.flatMap(([name, getDemand]) => {
      const { cells, total } = measureCase({ name, policy, divide, mayBorrow, getDemand, options });
      totals.push([policy, name, ...total]);
      return cells;
    })
  );
  const title = `Use of the full pool and messages about loans and shares, ${HOSTS} entry hosts`;
  const columns = ["policy", "demand", "slots in use", "most bytes/s a host"];
  return Promise.resolve([{ title, columns, rows: totals, brokenInvariants: [] }, {
    title: `A full pool of ${SLOTS} slots, ${HOSTS} entry hosts (each team within ` +
      `${MAXIMUM_DEVIATION * 100}% of its share over any ${WINDOW_MILLISECONDS / 1_000} s)`,
    columns: [
      "policy",
      "demand",
      "team",
      "share",
      "should run",
      "mean",
      "farthest %",
      "within bound",
    ],
    rows,
    brokenInvariants: [],
  }]);
}

interface CaseOptions {
  name: string;
  policy: string;
  divide: DivideShares;
  mayBorrow: MayExceedAllotment;
  getDemand: GetDemand;
  options: MeasurementOptions;
}

function measureCase(given: CaseOptions) {
  const { name, policy, divide, mayBorrow, getDemand, options } = given;
  const teams = SHARES.map((share, index) => ({ team: `team-${index}`, share, upperLimit: 200 }));
  const hosts = LoanFleetSimulation.create({
    fleet: createLoanFleet({ teams, executors: EXECUTORS, queueLength: 1_000 }),
    hosts: HOSTS,
    rules: LOAN_RULES,
    divide,
    mayExceedAllotment: mayBorrow,
    serviceMilliseconds: SERVICE_MILLISECONDS,
    seed: options.seed,
  });
  const arrive = (host: number, team: string) =>
    hosts.arrive({ host, team, service: FLEET_SERVICE, presentedKey: getPresentedKey(team) });
  const wanted = teams.map(() => 0);
  for (const [index, { team }] of teams.entries()) {
    for (let host = 0; host < HOSTS; host += 1) {
      const demand = getDemand(index, host);
      wanted[index]! += demand;
      const isHere = demand > 0 && host % Math.ceil(1 / demand) === 0;
      const requestCount = isHere ? Math.ceil(demand) : 0;
      for (let count = 0; count < requestCount; count += 1) arrive(host, team);
    }
  }
  const durationMilliseconds = options.isQuick ? 6_000 : 20_000;
  const samples: number[][] = [];
  let before = hosts.getSentBytes();
  while (hosts.getNow() < WARM_UP_MILLISECONDS + durationMilliseconds) {
    hosts.step((request) => arrive(request.host, request.team));
    if (hosts.getNow() === WARM_UP_MILLISECONDS) before = hosts.getSentBytes();
    if (hosts.getNow() <= WARM_UP_MILLISECONDS) continue;
    samples.push(teams.map(({ team }) => hosts.getRunningCount(team)));
  }
  const claims = wanted.map((demand, index) => ({ demand, weight: SHARES[index]! }));
  const expected = divideMaxMin(SLOTS, claims);
  const bytesPerSecond = hosts.getSentBytes().map((sent, index) =>
    (sent - before[index]!) * 1_000 / durationMilliseconds
  );
  const totalsRunning = samples.map((sample) => sample.reduce((sum, value) => sum + value, 0));
  const inUse = totalsRunning.reduce((sum, value) => sum + value, 0) / totalsRunning.length;
  const cells = teams.map(({ team, share }, index): MeasurementCell[] => {
    const values = samples.map((sample) => sample[index]!);
    const maximumDeviation = getMaximumDeviation(values, expected[index]!);
    const isWithin = maximumDeviation <= MAXIMUM_DEVIATION ? "yes" : "MISSED";
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    const numbers = [share, round(expected[index]!), round(mean), round(100 * maximumDeviation)];
    return [policy, name, team, ...numbers, isWithin];
  });
  return { cells, total: [round(inUse), round(Math.max(...bytesPerSecond))] };
}

/** Gets the maximum deviation of the mean over any window, as a fraction of the expected value. */
function getMaximumDeviation(values: readonly number[], expected: number): number {
  let sum = 0;
  let maximumDeviation = 0;
  for (const [index, value] of values.entries()) {
    sum += value - (values[index - WINDOW_MILLISECONDS] ?? 0);
    if (index < WINDOW_MILLISECONDS - 1) continue;
    const mean = sum / WINDOW_MILLISECONDS;
    const deviation = expected === 0 ? mean : Math.abs(mean - expected) / expected;
    maximumDeviation = Math.max(maximumDeviation, deviation);
  }
  return maximumDeviation;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
