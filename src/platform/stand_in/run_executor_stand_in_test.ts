import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { RunEnd } from "../../fleet/run.ts";
import { RunExecutorStandIn } from "./run_executor_stand_in.ts";

/** How long a run takes, in milliseconds. */
const RUN_MILLISECONDS = 500;
const FENCE = 1;

// Guards against runs that end as done after the executor's process has ended.
test("a poll that waits doesn't go on after its executor has been closed", async (t) => {
  const ends: RunEnd[] = [];
  const executor = RunExecutorStandIn.create({
    id: "i-0",
    service: "berthbook",
    zone: "zl-a",
    planRun: () => ({ durationMilliseconds: RUN_MILLISECONDS, end: RunEnd.Done }),
    onEnd: (_run, end) => ends.push(end),
  });
  const { addr } = await executor.listen();
  const post = (path: string, order: unknown) =>
    fetch(`http://${addr}${path}`, {
      method: "POST",
      headers: { "expect-instance": "i-0" },
      body: JSON.stringify(order),
    });
  const start = { task: "a1", run: 1, taskSpec: "", deadlineMs: 5_000, fence: FENCE };
  t.is((await post("/-/run-start", start)).status, 200);
  const polling = post("/-/hold", { fence: FENCE, deadlineMs: 5_000, waitMs: 1_000 });
  await delay(RUN_MILLISECONDS / 10);
  executor.close();
  await t.throwsAsync(polling);
  await delay(RUN_MILLISECONDS);
  t.deepEqual(ends, []);
});
