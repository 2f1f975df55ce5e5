import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { createListedExecutor } from "../../stand_ins/fleet_fixtures.ts";
import { ExecutorClient } from "../executor_client.ts";
import { RestartingExecutors } from "./restarting_executors.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const RUN_MILLISECONDS = 100;

// Guards against a lost task that counts as done, so that the soak does not miss it.
test("an executor that has ended does not end runs while a poll of it is held", async (t) => {
  const store = StoreStandIn.create();
  const entries: Record<string, unknown>[] = [];
  store.put = (_topic, _id, entry) => void entries.push(entry as Record<string, unknown>);
  const executors = RestartingExecutors.create({
    store,
    getRunMilliseconds: () => RUN_MILLISECONDS,
  });
  await executors.start({ id: "i-1", service: "berthbook" });
  while (entries.length === 0) await delay(5);
  const { addr, born } = entries[0]!;
  const executor = createListedExecutor({ address: String(addr), born: Number(born) });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), executors.close()));
  const order = { executor, fence: 1 };
  await client.start({
    ...order,
    task: "j.0.0.0",
    run: 1,
    text: "",
    deadline: 60_000,
    checkpoint: "",
  });
  void client.poll({ ...order, acknowledged: 0, deadline: 0, waitMilliseconds: 1_000 });
  await delay(RUN_MILLISECONDS / 4);
  await executors.restart("i-1", { entryDelayMilliseconds: 0, muteMilliseconds: 0 });
  await delay(2 * RUN_MILLISECONDS);
  t.false(executors.history.isDone("j.0.0.0"));
});
