/** Measures the planning of maintenance waves and the length of the schedule that maintains every host. */

import { RECORD_RULES } from "../entry/record_rules.ts";
import type { HostData } from "../machines/host_data.ts";
import { ListedState } from "../records/platform_messages.ts";
import { planOneHost, type PlanWave, planWave } from "../pools/maintenance_planner.ts";
import { findPoolMembershipViolations } from "../pools/pool_membership_invariants.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords, type JudgedRecord } from "../records/fold.ts";
import type { LogRecord } from "../records/record.ts";
import { MaintenanceModel } from "./maintenance_model.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

/** The hosts of the size to come. */
const HOSTS = 21_000;

/** The pools of the size to come. */
const POOLS = 83;

/** The zones of the size to come. */
const ZONES = 27;

/** The racks of one zone. */
const RACKS_PER_ZONE = 40;

/** The records of one day at the size to come. */
const RECORDS_A_DAY = 18_000;

/** The longest time in which a wave is to be planned, in milliseconds. */
const PLANNING_BOUND_MILLISECONDS = 250;

/** How long a modelled host reboots. */
const REBOOT_MILLISECONDS = 600_000;

/** The time between two steps of the model. */
const STEP_MILLISECONDS = 300_000;

/** The hosts of the fleet on which the baseline host by host is run too. */
const SMALL_HOSTS = 420;

const HOUR = 3_600_000;

/** The most steps of a schedule: no schedule under test comes near. */
const MOST_STEPS = 100_000;

type Bodies = [kind: string, body: unknown][];

/** The budgets of a schedule. */
interface Budgets {
  pool: number;
  zone: number;
  rack: number;
}

/** The measurement `maintenance`. */
export const MAINTENANCE_MEASUREMENT: Measurement = {
  name: "maintenance",
  run: (options) => Promise.resolve(measureMaintenance(options)),
};

function measureMaintenance(options: MeasurementOptions): MeasurementTable[] {
  return [measurePlanning(), measureFold(), measureSchedules(options)];
}

function measurePlanning(): MeasurementTable {
  const budgets = { pool: 12, zone: 39, rack: 2 };
  const bodies = createBodies(HOSTS, POOLS, ZONES, budgets);
  const rows: (string | number)[][] = [];
  const cases: [string, Bodies][] = [
    ["first wave", []],
    ["a zone out", [["zone-taken-out", { zone: "zone-0" }]]],
    ["zones of a pool apart", createApartProfiles()],
  ];
  for (const [name, more] of cases) {
    const fleet = fold([...bodies, ...more, ["maintenance-started", ALL]]);
    const listed = createList(fleet);
    const times: number[] = [];
    let drains = 0;
    for (let round = 0; round < 5; round += 1) {
      const start = performance.now();
      drains = planWave({
        fleet,
        listed,
        maintenance: fleet.tables.maintenances.get("all")!,
        estimateDowntimeMilliseconds: getCycle,
        mostDrains: HOSTS,
      }).length;
      times.push(performance.now() - start);
    }
    rows.push([name, drains, round(Math.max(...times)), round(median(times))]);
  }
  return {
    title: `Planning a wave over ${HOSTS} hosts in ${POOLS} pools (bound ` +
      `${PLANNING_BOUND_MILLISECONDS} ms)`,
    columns: ["case", "drains", "longest of 5 (ms)", "median (ms)"],
    rows,
    brokenInvariants: [],
  };
}

function measureFold(): MeasurementTable {
  const bodies = createBodies(HOSTS, POOLS, ZONES, { pool: 12, zone: 39, rack: 2 });
  const fleet = fold(bodies);
  const names = [...fleet.tables.hosts.values()];
  const day = Array.from({ length: RECORDS_A_DAY }, (_, index): [string, unknown] => {
    const { host, pool } = names[(index >> 1) % names.length]!;
    return index % 2 === 0
      ? ["host-drained", { host, pool, lost: [] }]
      : ["host-returned", { host, pool }];
  });
  const start = performance.now();
  const { judged } = foldRecords(fleet, createRecords(day, bodies.length), RECORD_RULES);
  const milliseconds = performance.now() - start;
  const accepted = judged.filter(({ verdict }) => verdict.outcome === "accepted").length;
  return {
    title: "Fold of a day of drains and returns with budgets (under 1 s)",
    columns: ["records", "accepted", "milliseconds"],
    rows: [[RECORDS_A_DAY, accepted, round(milliseconds)]],
    brokenInvariants: [],
  };
}

function measureSchedules(options: MeasurementOptions): MeasurementTable {
  const broken: string[] = [];
  const run = (name: string, size: ScheduleSize, plan: PlanWave) => {
    const { hours, isComplete, records } = runSchedule(size, plan, broken);
    const rebooted = isComplete ? size.hosts : "not all";
    return [name, size.hosts, JSON.stringify(size.budgets), rebooted, round(hours), records];
  };
  const small = { hosts: SMALL_HOSTS, pools: 4, zones: 4, budgets: { pool: 5, zone: 9, rack: 2 } };
  const rows = [
    run("host by host", small, planOneHost),
    run("waves", small, planWave),
  ];
  if (!options.isQuick) {
    const full = { hosts: HOSTS, pools: POOLS, zones: ZONES };
    rows.push(run("waves", { ...full, budgets: { pool: 12, zone: 39, rack: 2 } }, planWave));
    rows.push(run("waves", { ...full, budgets: { pool: 1, zone: 39, rack: 2 } }, planWave));
  }
  return {
    title: "Length of the schedule that reboots every host once (336 h are two weeks)",
    columns: ["planner", "hosts", "budgets", "rebooted", "hours", "records"],
    rows,
    brokenInvariants: broken,
  };
}

interface ScheduleSize {
  hosts: number;
  pools: number;
  zones: number;
  budgets: Budgets;
}

function runSchedule(size: ScheduleSize, plan: PlanWave, broken: string[]) {
  const isChecked = size.hosts <= SMALL_HOSTS;
  const check = (before: Fleet, judged: JudgedRecord, after: Fleet) => {
    broken.push(...findPoolMembershipViolations({ before, judged, after }));
  };
  const model = MaintenanceModel.create({
    bodies: createBodies(size.hosts, size.pools, size.zones, size.budgets),
    members: 1,
    getDrainMilliseconds: getDrain,
    rebootMilliseconds: REBOOT_MILLISECONDS,
    rebootTimeoutMilliseconds: 4 * REBOOT_MILLISECONDS,
    planWave: plan,
    ...isChecked ? { onJudged: check } : {},
  });
  const first = model.getFleet().offset;
  model.publish("maintenance-started", ALL);
  const isRunning = () => model.getFleet().tables.maintenances.get("all")?.state === "running";
  for (let step = 0; isRunning() && step < MOST_STEPS; step += 1) {
    model.readLog(0);
    model.act(0, STEP_MILLISECONDS, model.getListedHosts());
  }
  const state = model.getFleet().tables.maintenances.get("all")?.state;
  broken.push(...model.violations);
  const records = model.getFleet().offset - first;
  return { hours: model.now / HOUR, isComplete: state === "completed", records };
}

const ALL = { maintenance: "all", scope: { kind: "all", name: "" }, mostMissing: 0 };

function createBodies(hosts: number, pools: number, zones: number, budgets: Budgets): Bodies {
  const enrolments = Array.from({ length: hosts }, (_, index): [string, unknown] => {
    const zone = index % zones;
    const body = {
      host: `worker-${index}`,
      kind: "worker",
      pool: `pool-${Math.floor(index / zones) % pools}`,
      zone: `zone-${zone}`,
      rack: `rack-${Math.floor(index / zones) % RACKS_PER_ZONE}`,
      address: "127.0.0.1:1",
      slots: 0,
      connections: 0,
      cores: 32,
      memoryGigabytes: 128,
      accelerators: 1,
    };
    return ["host-enrolled", body];
  });
  const limits = Object.entries(budgets).map(([scope, mostAway]): [string, unknown] => [
    "budget-set",
    { scope, name: "*", mostAway },
  ]);
  return [...enrolments, ...limits];
}

function createApartProfiles(): Bodies {
  const teams = [{ team: "anyone", share: 1, upperLimit: 1 }];
  const profile = { profile: "apart", teams, capacity: { isOneZoneAtOnce: true } };
  const picks = Array.from({ length: POOLS }, (_, index): [string, unknown] => [
    "profile-picked",
    { service: `pool-${index}`, profile: "apart" },
  ]);
  return [["profile-published", profile], ...picks];
}

/** Lets work drain for 1 minute in one pool and up to 45 minutes in another. */
function getDrain(host: HostData): number {
  return 60_000 * (1 + 4 * (Number(host.pool.split("-")[1]) % 12));
}

function getCycle(host: HostData): number {
  return getDrain(host) + REBOOT_MILLISECONDS;
}

function createList(fleet: Fleet) {
  return new Map([...fleet.tables.hosts].map(([name, host]) => [
    name,
    { ...host, state: ListedState.Live, boots: 1 },
  ]));
}

function fold(bodies: Bodies): Fleet {
  return foldRecords(Fleet.createEmpty(), createRecords(bodies, 0), RECORD_RULES).fleet;
}

function createRecords(bodies: Bodies, first: number): LogRecord[] {
  return bodies.map(([kind, body], index) => {
    const offset = first + index;
    return { offset, id: `r${offset}`, kind, version: 1, author: "operator", body };
  });
}

function median(values: number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
