import test from "ava";
import type { EventLog } from "../events/mod.ts";
import { createListedExecutor } from "../stand_ins/fleet_fixtures.ts";
import { ExecutorClient } from "./executor_client.ts";

test("orders to an address to which no link can be made are unanswered, and end no process", async (t) => {
  const events: string[] = [];
  const log: EventLog = (event, fields) => {
    const { step, peer, reason } = fields ?? {};
    events.push(`${event} step=${step} peer=${peer} reason=${reason}`);
  };
  const client = ExecutorClient.create(log);
  const executor = createListedExecutor({ address: "127.0.0.1:70000" });
  const run = { executor, task: "j.0.0.0", run: 1, fence: 1 };
  const answers = {
    start: await client.start({ ...run, text: "", deadline: 0, checkpoint: "" }),
    stop: await client.stop(run),
    pace: await client.pace({ ...run, percent: 50 }),
    poll: await client.poll({
      executor,
      fence: 1,
      acknowledged: 0,
      deadline: 0,
      waitMilliseconds: 0,
    }),
  };
  client.closeExcept(new Set());
  t.snapshot({ answers, events });
});
