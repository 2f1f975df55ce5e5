/** Measures how near one team alone comes to its upper limit, and what the loans cost in bytes. */

import { allotEvenly, allotOnRequest } from "../contracts/loans/allot_loans.ts";
import { LOAN_RULES, type LoanRules } from "../contracts/loans/loan_rules.ts";
import { LoanFleetSimulation } from "./loan_fleet_simulation.ts";
import { createLoanFleet, FLEET_SERVICE, getPresentedKey } from "./create_loan_fleet.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

const HOSTS = 8;
const SERVICE_MILLISECONDS = 50;
const WARM_UP_MILLISECONDS = 2_000;
const TEAM = "mine-desk";
const LIMITS = [1, 3, 8, 40, 300];
const RATES = [100, 1_000, 5_000];

/** The bound on the part of the limit that is reached. */
const BOUND_PART = 0.95;

/** The bound on the bytes a second that a host sends. */
const BOUND_BYTES = 2_000;

const POLICIES: [name: string, rules: LoanRules][] = [
  ["loans", LOAN_RULES],
  ["fixed split", { ...LOAN_RULES, allot: allotEvenly }],
  ["ask per request", { ...LOAN_RULES, allot: allotOnRequest }],
];

/** The measurement `limits`. */
export const LIMITS_MEASUREMENT: Measurement = { name: "limits", run: measureLimits };

function measureLimits(options: MeasurementOptions): Promise<MeasurementTable[]> {
  const broken: string[] = [];
  const reached: (string | number)[][] = [];
  for (const [name, rules] of POLICIES) {
    for (const limit of LIMITS) {
      for (const isSpread of [false, true]) {
        reached.push(measureReached({ name, rules, limit, isSpread, options, broken }));
      }
    }
  }
  const rates: (string | number)[][] = [];
  for (const [name, rules] of POLICIES) {
    for (const rate of RATES) rates.push(measureBytes(name, rules, rate, options));
  }
  return Promise.resolve([
    {
      title: `One team alone on ${HOSTS} entry hosts (at least ${BOUND_PART * 100}% of its limit)`,
      columns: ["policy", "limit", "demand at", "mean running", "% of limit", "within bound"],
      rows: reached,
      brokenInvariants: broken,
    },
    {
      title: `Messages about loans, ${HOSTS} entry hosts (under ${BOUND_BYTES} bytes/s a host)`,
      columns: ["policy", "requests/s", "answered/s", "bytes/s a host", "most", "within bound"],
      rows: rates,
      brokenInvariants: [],
    },
  ]);
}

interface ReachedOptions {
  name: string;
  rules: LoanRules;
  limit: number;
  isSpread: boolean;
  options: MeasurementOptions;
  broken: string[];
}

/** Keeps twice the limit under way, at one host or over all. */
function measureReached(given: ReachedOptions): (string | number)[] {
  const { name, rules, limit, isSpread, options, broken } = given;
  const teams = [{ team: TEAM, share: 1, upperLimit: limit }];
  const fleet = createLoanFleet({ teams, executors: 40, queueLength: 1_000 });
  const hosts = LoanFleetSimulation.create({
    fleet,
    hosts: HOSTS,
    rules,
    serviceMilliseconds: SERVICE_MILLISECONDS,
    seed: options.seed,
  });
  const arrive = (host: number) =>
    hosts.arrive({ host, team: TEAM, service: FLEET_SERVICE, presentedKey: getPresentedKey(TEAM) });
  const count = Math.max(2 * limit, isSpread ? HOSTS : 0);
  for (let index = 0; index < count; index += 1) arrive(isSpread ? index % HOSTS : 0);
  const lasts = options.isQuick ? 2_000 : 10_000;
  let sum = 0;
  let most = 0;
  while (hosts.getNow() < WARM_UP_MILLISECONDS + lasts) {
    hosts.step((request) => arrive(request.host));
    most = Math.max(most, hosts.getRunningCount(TEAM));
    if (hosts.getNow() > WARM_UP_MILLISECONDS) sum += hosts.getRunningCount(TEAM);
  }
  if (most > limit) broken.push(`${name}: ${most} ran with limit ${limit}`);
  const mean = sum / lasts;
  const isWithin = mean >= limit * BOUND_PART;
  return [
    name,
    limit,
    isSpread ? "all hosts" : "one host",
    round(mean),
    round(100 * mean / limit),
    isWithin ? "yes" : "MISSED",
  ];
}

/** Sends requests of six teams at random hosts, well within the limits. */
function measureBytes(
  name: string,
  rules: LoanRules,
  rate: number,
  options: MeasurementOptions,
): (string | number)[] {
  const teams = Array.from({ length: 6 }, (_, index) => ({
    team: `team-${index}`,
    share: 1,
    upperLimit: 80,
  }));
  const fleet = createLoanFleet({ teams, executors: 40, queueLength: 1_000 });
  const { seed } = options;
  const hosts = LoanFleetSimulation.create({
    fleet,
    hosts: HOSTS,
    rules,
    serviceMilliseconds: SERVICE_MILLISECONDS,
    seed,
  });
  const lasts = options.isQuick ? 3_000 : 10_000;
  let due = 0;
  let sent = 0;
  let answered = 0;
  let before = hosts.getSentBytes();
  while (hosts.getNow() < WARM_UP_MILLISECONDS + lasts) {
    due += rate / 1_000;
    for (; due >= 1; due -= 1) {
      sent += 1;
      const { team } = teams[(sent * 7) % teams.length]!;
      const host = (sent * 5 + Math.floor(sent / 13)) % HOSTS;
      hosts.arrive({ host, team, service: FLEET_SERVICE, presentedKey: getPresentedKey(team) });
    }
    hosts.step((_, outcome) => answered += outcome === "answered" ? 1 : 0);
    if (hosts.getNow() !== WARM_UP_MILLISECONDS) continue;
    before = hosts.getSentBytes();
    answered = 0;
  }
  const bytes = hosts.getSentBytes().map((total, index) =>
    (total - before[index]!) * 1_000 / lasts
  );
  const most = Math.max(...bytes);
  const mean = bytes.reduce((sum, value) => sum + value, 0) / bytes.length;
  const isWithin = most < BOUND_BYTES ? "yes" : "MISSED";
  return [name, rate, round(answered * 1_000 / lasts), round(mean), round(most), isWithin];
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
