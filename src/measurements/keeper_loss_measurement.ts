/** Measures what the loss of a keeper costs: its teams' holdings, and the time until new loans. */

import { getTeamResource } from "../contracts/loans/loan_resource.ts";
import { LOAN_RULES } from "../contracts/loans/loan_rules.ts";
import { LoanFleetSimulation } from "./loan_fleet_simulation.ts";
import { createLoanFleet, FLEET_SERVICE, getPresentedKey } from "./create_loan_fleet.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

const HOSTS = 8;
const TEAM = "mine-desk";
const LIMITS = [3, 8, 40, 300];
const SERVICE_MILLISECONDS = 50;
const LONGEST_RUN_MILLISECONDS = 10_000;
const LOST_AT = 2_000;
const REMOVED_AT = 5_000;
const IN_FORCE_AT = 8_500;
const END_AT = 24_000;

/** The bound on the time from the removal in force until new loans. */
const BOUND_MILLISECONDS = 5_000;

/** The measurement `keeper-loss`. */
export const KEEPER_LOSS_MEASUREMENT: Measurement = {
  name: "keeper-loss",
  run: (options) => Promise.resolve([measureKeeperLoss(options)]),
};

function measureKeeperLoss(options: MeasurementOptions): MeasurementTable {
  const broken: string[] = [];
  const rows = LIMITS.map((limit) => measureLimit(limit, options, broken));
  return {
    title:
      `A keeper of ${HOSTS} is lost at 0, removed at ${REMOVED_AT - LOST_AT} ms, in force at ` +
      `${IN_FORCE_AT - LOST_AT} ms; demand moves to another host at the removal ` +
      `(new loans within ${BOUND_MILLISECONDS} ms of in force)`,
    columns: [
      "limit",
      "least running before removal",
      "holding when demand moves",
      "first loan after ms",
      "loans that moved by in force",
      "whole limit after ms",
      "within bound",
    ],
    rows,
    brokenInvariants: broken,
  };
}

/** Keeps demand at one host, and moves it to another when the roster has changed. */
function measureLimit(limit: number, options: MeasurementOptions, broken: string[]) {
  const resource = getTeamResource(TEAM);
  const hosts = LoanFleetSimulation.create({
    fleet: createLoanFleet({
      teams: [{ team: TEAM, share: 1, upperLimit: limit }],
      executors: 45,
      queueLength: 1_000,
      longestRunMilliseconds: LONGEST_RUN_MILLISECONDS,
    }),
    hosts: HOSTS,
    rules: LOAN_RULES,
    serviceMilliseconds: SERVICE_MILLISECONDS,
    seed: options.seed,
  });
  const keeper = hosts.getKeeperIndex(resource);
  const first = (keeper + 1) % HOSTS;
  const second = (keeper + 2) % HOSTS;
  const arrive = (host: number) =>
    hosts.arrive({ host, team: TEAM, service: FLEET_SERVICE, presentedKey: getPresentedKey(TEAM) });
  for (let count = 0; count < 2 * limit; count += 1) arrive(first);
  let target = first;
  let least = Infinity;
  let before = 0;
  let moved = 0;
  let firstLoanAt: number | undefined;
  let wholeAt: number | undefined;
  while (hosts.getNow() < END_AT) {
    hosts.step(() => arrive(target));
    const now = hosts.getNow();
    const running = hosts.getRunningCount(TEAM);
    if (running > limit) broken.push(`${running} ran with limit ${limit}`);
    if (now === LOST_AT) hosts.crash(keeper);
    if (now > LOST_AT && now < REMOVED_AT) least = Math.min(least, running);
    if (now === REMOVED_AT) {
      before = hosts.getHeldPermits(second, resource);
      hosts.removeLost(false);
      target = second;
      for (let count = 0; count < limit; count += 1) arrive(second);
    }
    const holding = hosts.getHeldPermits(second, resource);
    if (now > REMOVED_AT && holding > before) firstLoanAt ??= now - REMOVED_AT;
    if (now > REMOVED_AT && holding === limit) wholeAt ??= now - REMOVED_AT;
    if (now === IN_FORCE_AT) {
      moved = holding;
      hosts.removeLost(true);
    }
  }
  const isWithin = firstLoanAt !== undefined &&
    REMOVED_AT + firstLoanAt <= IN_FORCE_AT + BOUND_MILLISECONDS;
  return [
    limit,
    least,
    before,
    firstLoanAt ?? "none",
    moved,
    wholeAt ?? "none",
    isWithin ? "yes" : "MISSED",
  ];
}
