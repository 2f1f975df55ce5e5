import test from "ava";
import type { EventLog } from "../events/mod.ts";
import { JournalTask } from "../ownership/journal_task.ts";
import { StoreClient } from "./store_client.ts";
import { createJournalStore, createStatusStore, createWaveStatusEntry } from "./store_ports.ts";
import { StoreFault, StoreStandIn } from "./stand_in/store_stand_in.ts";
import { STORE_LIMITS } from "../stand_ins/fleet_fixtures.ts";

const noLog: EventLog = () => {};

/** Creates a status writer, whose writes resolve as stored, or as fenced by a later owner. */
function createOwner(store: StoreClient, epoch: number) {
  let onFenced = () => {};
  const fenced = new Promise<string>((resolve) => (onFenced = () => resolve("fenced")));
  const task = JournalTask.create({
    store: createStatusStore(store),
    epoch,
    firstSequence: 1,
    onFenced,
    onAppended: () => {},
    log: noLog,
  });
  const write = (isCompleted: boolean) =>
    new Promise<string>((resolve) =>
      task.post({
        kind: "write",
        entries: [createWaveStatusEntry(1, isCompleted)],
        onStored: () => resolve("stored"),
      })
    );
  return {
    writeStatus: (isCompleted: boolean) => Promise.race([write(isCompleted), fenced]),
    task,
  };
}

test("a retried status does not overwrite a later one", async (t) => {
  let refusals = 2;
  const storeStandIn = StoreStandIn.create({
    chooseFault: () => refusals-- > 0 ? StoreFault.Busy : StoreFault.None,
  });
  const store = StoreClient.create(await storeStandIn.listen(), noLog);
  const owner = createOwner(store, 1);
  t.teardown(() => (owner.task.stop(), store.close(), storeStandIn.close()));
  const outcomes = await Promise.all([owner.writeStatus(false), owner.writeStatus(true)]);
  t.snapshot({ told: outcomes, shown: storeStandIn.getValues("keyed.status") });
  t.true(refusals < 0);
});

test("a status of a superseded owner does not overwrite one of a later owner", async (t) => {
  const storeStandIn = StoreStandIn.create();
  const store = StoreClient.create(await storeStandIn.listen(), noLog);
  const [earlier, later] = [createOwner(store, 1), createOwner(store, 2)];
  t.teardown(() => (earlier.task.stop(), later.task.stop(), store.close(), storeStandIn.close()));
  const outcomes = [
    await earlier.writeStatus(true),
    await later.writeStatus(false),
    await earlier.writeStatus(true),
  ];
  t.snapshot({ told: outcomes, shown: storeStandIn.getValues("keyed.status") });
});

test("entries whose upload takes longer than the usual response are stored on a slow link", async (t) => {
  const storeStandIn = StoreStandIn.create({ bytesPerMillisecond: 200 });
  const store = StoreClient.create(await storeStandIn.listen(), noLog);
  let appends = 0;
  storeStandIn.chooseFault = () => {
    appends += 1;
    return StoreFault.None;
  };
  const journal = JournalTask.create({
    store: createJournalStore(store, STORE_LIMITS),
    epoch: 1,
    firstSequence: 1,
    onFenced: () => {},
    onAppended: () => {},
    log: noLog,
  });
  t.teardown(() => (journal.stop(), store.close(), storeStandIn.close()));
  // 240 kB take 1.2 s; the response to a small append times out after 200 ms.
  const value = Buffer.alloc(60_000, "x");
  const stored = new Promise<string>((resolve) => {
    const entries = ["a", "b", "c", "d"].map((key) => ({ key, value }));
    journal.post({ kind: "write", entries, onStored: () => resolve("stored") });
  });
  const timeout = new Promise<string>((resolve) => setTimeout(() => resolve("not stored"), 8_000));
  t.snapshot({ outcome: await Promise.race([stored, timeout]), appends });
});

/** The ways in which the store does not serve a page. */
const PAGE_FAULTS: Record<string, StoreFault> = {
  "lost": StoreFault.AnswerLost,
  "refused": StoreFault.Busy,
  "reset": StoreFault.Reset,
};

for (const [name, fault] of Object.entries(PAGE_FAULTS)) {
  test(`a page that is ${name} twice does not make a take-over read the journal from its start`, async (t) => {
    const storeStandIn = StoreStandIn.create();
    const events: string[] = [];
    const store = StoreClient.create(
      await storeStandIn.listen(),
      (event, fields) => events.push(`${event} after ${String(fields?.["after"])}`),
    );
    t.teardown(() => (store.close(), storeStandIn.close()));
    // The store returns 500 entries a page.
    for (let number = 0; number < 1_200; number += 1) {
      storeStandIn.put("keyed.journal", `job/${String(number).padStart(4, "0")}`, number);
    }
    const pages: string[] = [];
    storeStandIn.chooseFault = (path) => {
      const after = new URL(path, "http://store").searchParams.get("after") ?? "start";
      pages.push(after);
      const requestCount = pages.filter((page) => page === after).length;
      return after !== "start" && requestCount <= 2 ? fault : StoreFault.None;
    };
    const journalStore = createJournalStore(store, STORE_LIMITS);
    let entries: unknown[] | undefined;
    for (let attempt = 1; entries === undefined && attempt <= 5; attempt += 1) {
      pages.length = 0;
      events.length = 0;
      entries = await journalStore.readAll();
    }
    t.snapshot({
      entries: entries?.length,
      pages: [...new Set(pages)],
      events: [...new Set(events)],
    });
  });
}
