import test from "ava";
import { ElapsedClock } from "./elapsed_clock.ts";
import { Task } from "./task.ts";

class CountTask extends Task<number> {
  readonly received: number[] = [];

  private constructor() {
    super({ name: "count", mailboxCapacity: 3 });
  }

  static create(): CountTask {
    return new CountTask();
  }

  protected override receive(message: number): void {
    this.received.push(message);
  }

  override getState(): unknown {
    return this.received;
  }
}

test("a full mailbox and a stopped task reject messages", async (t) => {
  const task = CountTask.create();
  const accepted = [1, 2, 3, 4].map((message) => task.post(message));
  await Promise.resolve();
  const later = task.post(5);
  await Promise.resolve();
  task.stop();
  const afterStop = task.post(6);
  t.snapshot({
    accepted,
    later,
    afterStop,
    state: task.getState(),
    mailbox: task.getMailboxState(),
  });
});

test("elapsed time follows the clock that advanced further, and never decreases", (t) => {
  let monotonic = 0;
  let wall = 0;
  const elapsed = ElapsedClock.create({
    getMonotonicTime: () => monotonic,
    getWallClockTime: () => wall,
  });
  const steps = [[10, 10], [10, 5_000], [10, -60_000], [0, 3_000]].map(([ahead, wallAhead]) => {
    monotonic += ahead!;
    wall += wallAhead!;
    return elapsed.getElapsed();
  });
  t.deepEqual(steps, [10, 5_010, 5_020, 8_020]);
});
