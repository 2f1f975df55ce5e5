import test from "ava";
import { CLAIM, createOwner, OwnerSuccession } from "../stand_ins/owner_succession.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import type { ExecutorPort, OwnerTask } from "./owner_task.ts";

/** How long the executor has run when it restarts: longer than the longest lease. */
const UPTIME_MILLISECONDS = 12_000;
/** How long the restarted executor answers nothing: longer than any lease by the old clock. */
const MUTE_MILLISECONDS = 12_000;

/** Starts the task, and takes the store down until the owner has prolonged the lease. */
async function startBeforeOutage(world: OwnerSuccession): Promise<OwnerTask> {
  const owner = await world.open(1, undefined);
  world.submit(owner);
  await world.clock.tickAsync(1_000);
  world.isStoreDown = true;
  await world.clock.tickAsync(1_900);
  world.cutOffRunningExecutor();
  return owner;
}

/** Starts the task at an executor that has restarted, unnoticed, and answers nothing for a while. */
async function startAfterRestart(
  world: OwnerSuccession,
  muteMilliseconds = MUTE_MILLISECONDS,
): Promise<OwnerTask> {
  const owner = await world.open(1, undefined);
  await world.clock.tickAsync(UPTIME_MILLISECONDS);
  world.restartFirstExecutor(muteMilliseconds);
  await world.clock.tickAsync(200);
  world.submit(owner);
  await world.clock.tickAsync(1_000);
  return owner;
}

// Guards against two runs of a task whose lease an outage of the store has prolonged.
test.serial("a successor of an owner that stops after an outage waits for its prolonged leases", async (t) => {
  const world = OwnerSuccession.create();
  const first = await startBeforeOutage(world);
  const released = await world.handOver(first, CLAIM);
  await world.open(2, released);
  await world.clock.tickAsync(8_000);
  world.stop();
  t.snapshot(world.events);
  t.deepEqual(world.history.violations, []);
});

// Guards against a figure that covers only the leases of the owner that states it.
test.serial("an owner that stops soon after its take-over states the leases of the one before it", async (t) => {
  const world = OwnerSuccession.create();
  const first = await startBeforeOutage(world);
  const released = await world.handOver(first, CLAIM);
  const second = await world.open(2, released);
  const releasedAgain = await world.handOver(second, { ...CLAIM, epoch: 2 });
  await world.open(3, releasedAgain);
  await world.clock.tickAsync(8_000);
  world.stop();
  t.snapshot(world.events);
  t.deepEqual(world.history.violations, []);
});

// Guards against a released claim without a figure after a take-over that was not completed.
test.serial("an owner that stops before its take-over is complete passes on the lease it was told", async (t) => {
  const world = OwnerSuccession.create();
  const owner = createOwner({
    epoch: 2,
    previousClaim: { ...CLAIM, isReleased: true, leaseMilliseconds: 4_200 },
    journalStore: {
      append: () => new Promise(() => {}),
      readAll: () => new Promise(() => {}),
    },
    executors: {} as ExecutorPort,
    claimClock: ElapsedClock.create(),
  });
  const released = await world.handOver(owner, { ...CLAIM, epoch: 2 });
  world.stop();
  t.is(released.leaseMilliseconds, 4_200);
});

// Guards against a figure that leaves out the lease that a start has given to a later incarnation.
test.serial("an owner that stops states the lease of a start that a restarted executor has not answered", async (t) => {
  const world = OwnerSuccession.create();
  const first = await startAfterRestart(world);
  const released = await world.handOver(first, CLAIM);
  await world.open(2, released);
  await world.clock.tickAsync(14_000);
  world.stop();
  t.snapshot(world.events);
  t.deepEqual(world.history.violations, []);
});

// Guards against an owner that waits for a lease by the clock of an incarnation that has ended.
test.serial("an owner waits for the longest lease of a start that a restarted executor has not answered", async (t) => {
  const world = OwnerSuccession.create();
  await startAfterRestart(world);
  await world.clock.tickAsync(14_000);
  world.stop();
  t.snapshot(world.events);
  t.deepEqual(world.history.violations, []);
});

// Guards against an answer that is taken as one of the incarnation whose clock is known.
test.serial("an owner waits for the longest lease of a start that a later incarnation has answered", async (t) => {
  const world = OwnerSuccession.create();
  const owner = await world.open(1, undefined);
  await world.clock.tickAsync(UPTIME_MILLISECONDS);
  world.restartFirstExecutor(0);
  await world.clock.tickAsync(200);
  world.submit(owner);
  while (world.events.length === 0) await world.clock.tickAsync(1);
  world.cutOffRunningExecutor();
  await world.clock.tickAsync(14_000);
  world.stop();
  t.snapshot(world.events);
  t.deepEqual(world.history.violations, []);
});

// Guards against a successor that assumes the leases by the clocks that a crashed owner knew.
test.serial("a successor of an owner that ends without a hand-over waits for the longest lease", async (t) => {
  const world = OwnerSuccession.create();
  const first = await startAfterRestart(world);
  first.stop();
  await world.open(2, CLAIM);
  await world.clock.tickAsync(14_000);
  world.stop();
  t.snapshot(world.events);
  t.deepEqual(world.history.violations, []);
});

// Guards against a successor that gives up an adopted run by the clocks that earlier owners knew.
test.serial("a successor waits for the longest lease of a run that it adopted and then lost touch with", async (t) => {
  const world = OwnerSuccession.create();
  const first = await startAfterRestart(world, 1_500);
  world.listRestart(1_200);
  await world.clock.tickAsync(100);
  first.stop();
  await world.open(2, CLAIM);
  await world.clock.tickAsync(1_500);
  world.cutOffRunningExecutor();
  await world.clock.tickAsync(14_000);
  world.stop();
  t.snapshot(world.events);
  t.deepEqual(world.history.violations, []);
});
