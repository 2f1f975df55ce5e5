/** Measures buffers and moves under spikes, lulls and the loss of a zone, for both deployments. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { planOneHost, type PlanWave, planWave } from "../pools/maintenance_planner.ts";
import {
  createFixedSizeDecision,
  type DecideMoves,
  decideMoves,
  decideNoMoves,
  decideWithoutHysteresis,
} from "../pools/move_decision.ts";
import { runCapacityModel } from "./capacity_model.ts";
import { createDeployments, type Deployment } from "./deployments.ts";
import { MaintenanceModel } from "./maintenance_model.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

/** The length of a run, and of a quick one, in seconds. */
const RUN_SECONDS = 7_200;
const QUICK_RUN_SECONDS = 1_200;

/** The drain, the reboot and the step of the modelled maintenance. */
const DRAIN_MILLISECONDS = 33_000;
const REBOOT_MILLISECONDS = 300_000;
const STEP_MILLISECONDS = 5_000;

/** The measurement `capacity`. */
export const CAPACITY_MEASUREMENT: Measurement = {
  name: "capacity",
  run: (options) => Promise.resolve(measureCapacity(options)),
};

function measureCapacity(options: MeasurementOptions): MeasurementTable[] {
  const deployments = createDeployments();
  return [...deployments.map((each) => measureMoves(each, options)), measureRollOut(deployments)];
}

function measureMoves(deployment: Deployment, options: MeasurementOptions): MeasurementTable {
  const sizes = new Map(Object.entries(deployment.pools));
  sizes.delete(deployment.sparePool);
  const decisions: [string, DecideMoves][] = [
    ["regret (this project)", decideMoves],
    ["no spare pool", decideNoMoves],
    ["fixed buffers", createFixedSizeDecision(sizes)],
    ["no hysteresis", decideWithoutHysteresis],
  ];
  const seconds = options.isQuick ? QUICK_RUN_SECONDS : RUN_SECONDS;
  const rows = decisions.map(([name, decide]) => {
    const random = createRandom(options.seed);
    const measures = runCapacityModel({ deployment, decideMoves: decide, seconds, random });
    return [
      name,
      round(measures.meanIdleHosts, 2),
      measures.moves,
      round(measures.fairShareFraction, 4),
      round(measures.zoneLossServedFraction, 4),
      round(measures.servedFraction, 4),
      round(measures.spareServedFraction, 4),
    ];
  });
  return {
    title: `${deployment.name}: ${seconds} s, spikes of 5, lulls of 1/20, a zone out (seed ` +
      `${options.seed})`,
    columns: [
      "decision",
      "idle hosts",
      "moves",
      "nearness to share",
      "zone-loss work",
      "work",
      "work of spares",
    ],
    rows,
    brokenInvariants: [],
  };
}

function measureRollOut(deployments: readonly Deployment[]): MeasurementTable {
  const broken: string[] = [];
  const plans: [string, PlanWave][] = [["waves", planWave], ["host by host", planOneHost]];
  const rows = deployments.flatMap((deployment) =>
    plans.map(([name, plan]) => [
      deployment.name,
      name,
      round(runRollOut(deployment, plan, broken) / 60_000, 1),
    ])
  );
  return {
    title: "Roll-out time: minutes until every executor rebooted once",
    columns: ["deployment", "planner", "minutes"],
    rows,
    brokenInvariants: broken,
  };
}

function runRollOut(deployment: Deployment, plan: PlanWave, broken: string[]): number {
  const model = MaintenanceModel.create({
    bodies: createBodies(deployment),
    members: 1,
    getDrainMilliseconds: () => DRAIN_MILLISECONDS,
    rebootMilliseconds: REBOOT_MILLISECONDS,
    rebootTimeoutMilliseconds: 10 * REBOOT_MILLISECONDS,
    planWave: plan,
  });
  model.publish("maintenance-started", { maintenance: "all", scope: { kind: "all", name: "" } });
  const getState = () => model.getFleet().tables.maintenances.get("all")?.state;
  while (getState() === "running") {
    model.readLog(0);
    model.act(0, STEP_MILLISECONDS, model.getListedHosts());
  }
  if (getState() !== "completed") broken.push(`${deployment.name}: maintenance is ${getState()}`);
  broken.push(...model.violations);
  return model.now;
}

function createBodies(deployment: Deployment): [string, unknown][] {
  const { zones, pools, profile, spareProfile, sparePool, mostAway } = deployment;
  const enrolments = Object.entries(pools).flatMap(([pool, count]) =>
    Array.from({ length: count }, (_, index): [string, unknown] => ["host-enrolled", {
      host: `${pool}-${index + 1}`,
      pool,
      kind: "executor",
      zone: zones[index % zones.length],
      rack: String(Math.floor(index / 4)),
      address: "127.0.0.1:1",
      slots: 8,
      connections: 64,
      cores: 4,
      memoryGigabytes: 16,
      accelerators: 0,
    }])
  );
  const picks = Object.keys(pools).map((service): [string, unknown] => [
    "profile-picked",
    { service, profile: (service === sparePool ? spareProfile : profile).profile },
  ]);
  return [
    ...enrolments,
    ["profile-published", profile],
    ["profile-published", spareProfile],
    ...picks,
    ["budget-set", { scope: "pool", name: "*", mostAway }],
  ];
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
