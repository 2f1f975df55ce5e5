import test from "ava";
import type { EventLog } from "../events/mod.ts";
import { JournalTask } from "../ownership/journal_task.ts";
import { StoreClient } from "./store_client.ts";
import { createStatusStore, createWaveStatusEntry } from "./store_ports.ts";
import { StoreFault, StoreStandIn } from "./stand_in/store_stand_in.ts";

const IGNORE: EventLog = () => {};

function createOwner(store: StoreClient, epoch: number) {
  let onFenced = () => {};
  const fenced = new Promise<string>((resolve) => (onFenced = () => resolve("fenced")));
  const task = JournalTask.create({
    store: createStatusStore(store),
    epoch,
    firstSequence: 1,
    onFenced,
    onAppended: () => {},
    log: IGNORE,
  });
  const tell = (isCompleted: boolean) =>
    new Promise<string>((resolve) =>
      task.post({
        kind: "write",
        entries: [createWaveStatusEntry(1, isCompleted)],
        onStored: () => resolve("stored"),
      })
    );
  return { tell: (isCompleted: boolean) => Promise.race([tell(isCompleted), fenced]), task };
}

test("a status that had to be repeated does not replace a later one", async (t) => {
  let refusals = 2;
  const stand = StoreStandIn.create({
    chooseFault: () => refusals-- > 0 ? StoreFault.Busy : StoreFault.None,
  });
  const store = StoreClient.create(await stand.listen());
  const owner = createOwner(store, 1);
  t.teardown(() => (owner.task.stop(), store.close(), stand.close()));
  const told = await Promise.all([owner.tell(false), owner.tell(true)]);
  t.snapshot({ told, shown: stand.getValues("keyed.status") });
  t.true(refusals < 0);
});

test("a status of an owner that lost its claim does not replace a later owner's", async (t) => {
  const stand = StoreStandIn.create();
  const store = StoreClient.create(await stand.listen());
  const [earlier, later] = [createOwner(store, 1), createOwner(store, 2)];
  t.teardown(() => (earlier.task.stop(), later.task.stop(), store.close(), stand.close()));
  const told = [await earlier.tell(true), await later.tell(false), await earlier.tell(true)];
  t.snapshot({ told, shown: stand.getValues("keyed.status") });
});
