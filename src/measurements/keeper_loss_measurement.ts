/** Measures the effect of losing a keeper: permits that its teams still hold, and time until new loans. */

import { getTeamResource } from "../contracts/loans/loan_resource.ts";
import { LOAN_RULES } from "../contracts/loans/loan_rules.ts";
import { LoanFleetSimulation } from "./loan_fleet_simulation.ts";
import { createLoanFleet, FLEET_SERVICE, getPresentedKey } from "./create_loan_fleet.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

const HOSTS = 8;
const TEAM = "mine-desk";
const LIMITS = [3, 8, 40, 300];
const SERVICE_MILLISECONDS = 50;
const MAXIMUM_RUN_MILLISECONDS = 10_000;
const LOSS_MILLISECONDS = 2_000;
const REMOVAL_MILLISECONDS = 5_000;
const IN_FORCE_MILLISECONDS = 8_500;
const END_MILLISECONDS = 24_000;

/** Bound on the time between the removal taking effect and new loans. */
const BOUND_MILLISECONDS = 5_000;

/** Measurement `keeper-loss`. */
export const KEEPER_LOSS_MEASUREMENT: Measurement = {
  name: "keeper-loss",
  run: (options) => Promise.resolve([measureKeeperLoss(options)]),
};

function measureKeeperLoss(options: MeasurementOptions): MeasurementTable {
  const violations: string[] = [];
  const rows = LIMITS.map((limit) => measureLimit(limit, options, violations));
  return {
    title:
      `A keeper of ${HOSTS} is lost at 0, removed at ${REMOVAL_MILLISECONDS - LOSS_MILLISECONDS}` +
      ` ms, in force at ${IN_FORCE_MILLISECONDS - LOSS_MILLISECONDS} ms; ` +
      `demand moves to another host at the removal (new loans within ${BOUND_MILLISECONDS} ms of in force)`,
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
    brokenInvariants: violations,
  };
}

/** Keeps demand at one host, and moves it to another host when the lost keeper is removed. */
function measureLimit(limit: number, options: MeasurementOptions, violations: string[]) {
  const resource = getTeamResource(TEAM);
  const hosts = LoanFleetSimulation.create({
    fleet: createLoanFleet({
      teams: [{ team: TEAM, share: 1, upperLimit: limit }],
      executors: 45,
      queueLength: 1_000,
      longestRunMilliseconds: MAXIMUM_RUN_MILLISECONDS,
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
  let loadedHost = first;
  let minimumRunning = Infinity;
  let previousHolding = 0;
  let movedHolding = 0;
  let firstLoanAt: number | undefined;
  let fullLimitAt: number | undefined;
  while (hosts.getNow() < END_MILLISECONDS) {
    hosts.step(() => arrive(loadedHost));
    const now = hosts.getNow();
    const running = hosts.getRunningCount(TEAM);
    if (running > limit) violations.push(`${running} ran with limit ${limit}`);
    if (now === LOSS_MILLISECONDS) hosts.crash(keeper);
    if (now > LOSS_MILLISECONDS && now < REMOVAL_MILLISECONDS) {
      minimumRunning = Math.min(minimumRunning, running);
    }
    if (now === REMOVAL_MILLISECONDS) {
      previousHolding = hosts.getHeldPermits(second, resource);
      hosts.removeLost(false);
      loadedHost = second;
      for (let count = 0; count < limit; count += 1) arrive(second);
    }
    const holding = hosts.getHeldPermits(second, resource);
    if (now > REMOVAL_MILLISECONDS && holding > previousHolding) {
      firstLoanAt ??= now - REMOVAL_MILLISECONDS;
    }
    if (now > REMOVAL_MILLISECONDS && holding === limit) {
      fullLimitAt ??= now - REMOVAL_MILLISECONDS;
    }
    if (now === IN_FORCE_MILLISECONDS) {
      movedHolding = holding;
      hosts.removeLost(true);
    }
  }
  const isWithin = firstLoanAt !== undefined &&
    REMOVAL_MILLISECONDS + firstLoanAt <= IN_FORCE_MILLISECONDS + BOUND_MILLISECONDS;
  return [
    limit,
    minimumRunning,
    previousHolding,
    firstLoanAt ?? "none",
    movedHolding,
    fullLimitAt ?? "none",
    isWithin ? "yes" : "MISSED",
  ];
}
