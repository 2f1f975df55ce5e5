import test from "ava";
import fc from "fast-check";
import {
  MaintenanceModel,
  type MaintenanceModelOptions,
} from "../measurements/maintenance_model.ts";
import type { JudgedRecord } from "../records/fold.ts";
import type { Fleet } from "../records/fleet.ts";
import { checkDrain, countLosses } from "./drain_check.ts";
import { planOneHost, type PlanWave, planWave } from "./maintenance_planner.ts";
import { decideMaintenanceStep, type MaintenanceAction } from "./maintenance_step.ts";
import { findPoolMembershipViolations } from "./pool_membership_invariants.ts";
import { FleetDraft } from "../records/fleet_draft.ts";

const ZONES = ["zululand-a", "zululand-b", "zululand-c", "zululand-d"];
const POOLS = ["tugdesk", "berthbook"];
const ALL = { maintenance: "december", scope: { kind: "all", name: "" }, mostMissing: 1 };
const MINUTE = 60_000;

const BODIES: [string, unknown][] = [
  ...POOLS.flatMap((pool) =>
    Array.from({ length: 8 }, (_, index): [string, unknown] => ["host-enrolled", {
      host: `${pool}-${index + 1}`,
      pool,
      kind: "executor",
      zone: ZONES[index % 4],
      rack: String(Math.floor(index / 4)),
      address: "127.0.0.1:1",
      slots: 8,
      connections: 64,
      cores: 4,
      memoryGigabytes: 16,
      accelerators: 0,
    }])
  ),
  ["budget-set", { scope: "pool", name: "*", mostAway: 3 }],
  ["budget-set", { scope: "zone", name: "*", mostAway: 3 }],
  ["budget-set", { scope: "rack", name: "*", mostAway: 1 }],
  ["profile-published", {
    profile: "apart",
    teams: [{ team: "mine-desk", share: 1, upperLimit: 8 }],
    capacity: { isOneZoneAtOnce: true },
  }],
  ["profile-picked", { service: "tugdesk", profile: "apart" }],
];

function createModel(
  plan: PlanWave,
  violations: string[],
  more: Partial<MaintenanceModelOptions> = {},
): MaintenanceModel {
  return MaintenanceModel.create({
    bodies: BODIES,
    members: 1,
    getDrainMilliseconds: (host) => (host.pool === "tugdesk" ? 3 : 1) * MINUTE,
    rebootMilliseconds: 2 * MINUTE,
    rebootTimeoutMilliseconds: 10 * MINUTE,
    planWave: plan,
    onJudged: (before: Fleet, judged: JudgedRecord, after: Fleet) =>
      void violations.push(...findPoolMembershipViolations({ before, judged, after })),
    ...more,
  });
}

function getState(model: MaintenanceModel) {
  return model.getFleet().tables.maintenances.get("december");
}

/** Runs one member that reads the log before each step, and gets its actions by minute. */
function run(model: MaintenanceModel, steps: number): string[] {
  const lines: string[] = [];
  for (let step = 0; step < steps && getState(model)?.state === "running"; step += 1) {
    model.readLog(0);
    const actions = model.act(0, MINUTE, model.getListedHosts());
    if (actions.length > 0) lines.push(`${model.now / MINUTE}: ${actions.map(describe).join(" ")}`);
  }
  return [...lines, `${getState(model)?.state} ${getState(model)?.reason}`.trim()];
}

function describe(action: ReturnType<MaintenanceModel["act"]>[number]): string {
  switch (action.kind) {
    case "drain":
    case "return":
      return `${action.kind} ${action.body.host}`;
    case "order-reboot":
      return `reboot ${action.host}`;
    default:
      return action.kind;
  }
}

test("waves are parallel within budgets, and one zone at a time if the profile says so", (t) => {
  const violations: string[] = [];
  const model = createModel(planWave, violations);
  model.publish("maintenance-started", ALL);
  t.snapshot(run(model, 500));
  t.deepEqual(violations, []);
  t.deepEqual(new Set(model.getRebootCounts().values()), new Set([1]));
});

test("a maintenance is paused when hosts do not return, resumes, and can be stopped", (t) => {
  const violations: string[] = [];
  const model = createModel(planWave, violations);
  for (const host of ["berthbook-1", "berthbook-2", "berthbook-3"]) model.neverReturning.add(host);
  model.publish("maintenance-started", ALL);
  const session = [run(model, 500)];
  model.publish("maintenance-resumed", { maintenance: "december" });
  session.push(run(model, 8));
  model.publish("maintenance-stopped", { maintenance: "december", reason: "enough" });
  for (let step = 0; step < 20; step += 1) {
    model.readLog(0);
    model.act(0, MINUTE, model.getListedHosts());
  }
  const away = [...model.getFleet().tables.hosts.values()].filter((host) => host.drain);
  t.snapshot({ session, awayAtTheEnd: away.map((host) => host.host) });
  t.deepEqual(violations, []);
});

test("the baseline that drains one host at a time completes the maintenance", (t) => {
  const violations: string[] = [];
  const model = createModel(planOneHost, violations);
  model.publish("maintenance-started", ALL);
  t.is(run(model, 500).at(-1), "completed");
  t.deepEqual(violations, []);
});

const event = fc.oneof(
  { weight: 30, arbitrary: fc.constant({ kind: "step" as const }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant("lose" as const), index: fc.nat(15) }) },
  { weight: 3, arbitrary: fc.constant({ kind: "find" as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("rack" as const), index: fc.nat(7) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("zone" as const), index: fc.nat(3) }) },
  { weight: 2, arbitrary: fc.constant({ kind: "outage" as const }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("never" as const), index: fc.nat(15) }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("operator" as const), index: fc.nat(4) }),
  },
);

const step = fc.record({
  event,
  member: fc.nat(1),
  readsLog: fc.boolean(),
  listAge: fc.nat(3),
  minutes: fc.integer({ min: 1, max: 4 }),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const names = POOLS.flatMap((pool) =>
  Array.from({ length: 8 }, (_, index) => `${pool}-${index + 1}`)
);

function applyFault(model: MaintenanceModel, step: Step): void {
  const { event } = step;
  switch (event.kind) {
    case "step":
      return;
    case "lose":
      model.lost.add(names[event.index]!);
      return;
    case "find":
      return model.lost.clear();
    case "rack":
      for (const pool of POOLS) model.lost.add(`${pool}-${event.index + 1}`);
      return;
    case "zone": {
      const zone = ZONES[event.index]!;
      const isOut = model.getFleet().getZoneOrThrow(zone).isOut();
      return model.publish(isOut ? "zone-returned" : "zone-taken-out", { zone });
    }
    case "outage":
      model.isLogAvailable = !model.isLogAvailable;
      return;
    case "never":
      model.neverReturning.add(names[event.index]!);
      return;
    case "operator": {
      const kinds = ["paused", "resumed", "resumed", "stopped", "stopped"];
      return model.publish(`maintenance-${kinds[event.index]}`, { maintenance: "december" });
    }
  }
}

/** Runs the steps, ends all faults, completes the maintenance, and gets the violations. */
function findViolations(
  steps: readonly Step[],
  plan: PlanWave,
  more: Partial<MaintenanceModelOptions> = {},
): string[] {
  const violations: string[] = [];
  const model = createModel(plan, violations, { members: 2, ...more });
  model.publish("maintenance-started", ALL);
  const lists = [model.getListedHosts()];
  for (const each of steps) {
    applyFault(model, each);
    if (each.readsLog) model.readLog(each.member);
    model.act(each.member, each.minutes * MINUTE, lists.at(-1 - each.listAge) ?? lists[0]!);
    lists.push(model.getListedHosts());
  }
  violations.push(...model.violations, ...findEndViolations(model));
  return violations;
}

/** Ends all faults, and checks that the maintenance ends and that no host rebooted twice. */
function findEndViolations(model: MaintenanceModel): string[] {
  model.isLogAvailable = true;
  model.lost.clear();
  for (const zone of model.getFleet().getZones()) {
    if (zone.isOut()) model.publish("zone-returned", { zone: zone.getName() });
  }
  const hasEnded = () => ["stopped", "completed"].includes(getState(model)!.state);
  const steps = model.neverReturning.size > 0 ? 30 : 300;
  for (let step = 0; step < steps && !hasEnded(); step += 1) {
    model.publish("maintenance-resumed", { maintenance: "december" });
    model.readLog(step % 2);
    model.act(step % 2, MINUTE, model.getListedHosts());
  }
  const reboots = [...model.getRebootCounts()];
  const twice = reboots.filter(([, count]) => count > 1).map(([host]) => `${host} rebooted twice`);
  if (hasEnded() || model.neverReturning.size > 0) return twice;
  return [...twice, "the maintenance does not end"];
}

const steps = fc.array(step, { minLength: 10, maxLength: 80 });

test("random faults exceed no budget, reboot no host in service or twice, nor prevent completion", (t) => {
  fc.assert(
    fc.property(steps, (drawn) => {
      t.deepEqual(findViolations(drawn, planWave), []);
    }),
    { seed: 6, numRuns: 200 },
  );
});

/** Faulty decisions, each of which the checks of the model must detect. */
const FAULTY_DECISIONS: Record<string, Partial<MaintenanceModelOptions>> = {
  "reboots hosts before they are drained": {
    decide: (options) => {
      const actions = decideMaintenanceStep(options);
      const orders = actions.flatMap((action): MaintenanceAction[] => {
        if (action.kind !== "drain") return [];
        const { host, boots } = action.body;
        return [{ kind: "order-reboot", host, boots: boots ?? 0 }];
      });
      return [...orders, ...actions];
    },
  },
  "never returns hosts": {
    decide: (options) =>
      decideMaintenanceStep(options).filter((action) => action.kind !== "return"),
  },
};

/** One member reads a stop and returns hosts, while the other still acts on the log before the stop. */
function stopWithLaggingMember(more: Partial<MaintenanceModelOptions>): string[] {
  const model = createModel(planWave, [], { members: 2, ...more });
  model.publish("maintenance-started", ALL);
  for (const member of [0, 1]) model.readLog(member);
  model.act(0, MINUTE, model.getListedHosts());
  for (const member of [0, 1]) {
    model.readLog(member);
    model.act(member, 0, model.getListedHosts());
  }
  model.publish("maintenance-stopped", { maintenance: "december" });
  for (let step = 0; step < 20; step += 1) {
    model.readLog(1);
    model.act(1, MINUTE, model.getListedHosts());
    model.act(0, 0, model.getListedHosts());
  }
  return model.violations;
}

test("a host returns after a stop only when no delayed reboot order can reach it", (t) => {
  t.deepEqual(stopWithLaggingMember({}), []);
  t.snapshot(stopWithLaggingMember({ stopGraceMilliseconds: 0 }));
});

for (const [name, more] of Object.entries(FAULTY_DECISIONS)) {
  test(`the model detects a decision that ${name}`, (t) => {
    const property = fc.property(
      steps,
      (drawn) => findViolations(drawn, planWave, more).length === 0,
    );
    t.true(fc.check(property, { seed: 6, numRuns: 300 }).failed);
  });
}

test("a planner that reports no lost hosts still exceeds no budget with its drains", (t) => {
  const planWithoutLosses: PlanWave = (options) =>
    planWave(options).map((drain) => ({ ...drain, lost: [] }));
  fc.assert(
    fc.property(steps, (drawn) => {
      t.deepEqual(findViolations(drawn, planWithoutLosses), []);
    }),
    { seed: 7, numRuns: 40 },
  );
});

test("every planned drain passes the check of the fold at the planner's offset", (t) => {
  const model = createModel(planWave, []);
  model.publish("maintenance-started", ALL);
  const fleet = model.getFleet();
  const [first] = planWave({
    fleet,
    maintenance: getState(model)!,
    listed: model.getListedHosts(),
    estimateDowntimeMilliseconds: () => MINUTE,
    mostDrains: 1,
  });
  const draft = FleetDraft.create(fleet);
  const host = fleet.getHostOrThrow(first!.host).getData();
  t.is(checkDrain(draft, host, countLosses(draft, first!.lost)), undefined);
});
