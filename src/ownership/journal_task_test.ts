import test from "ava";
import type { JournalEntry } from "../owner/owner_ports.ts";
import { JournalTask } from "./journal_task.ts";
import type { JournalAppendResult, JournalStore } from "./ownership_ports.ts";

interface Appended {
  keys: string[];
  sequence: number;
}

/** Answers appends in turn with what is given, and from then on as done. */
function createStore(results: JournalAppendResult[]): JournalStore & { appended: Appended[] } {
  const appended: Appended[] = [];
  return {
    appended,
    append: (entries, _epoch, sequence) => {
      appended.push({ keys: entries.map(({ key }) => key), sequence });
      return Promise.resolve(results.shift() ?? { outcome: "done" });
    },
    readAll: () => Promise.resolve([]),
  };
}

function createEntry(key: string): JournalEntry {
  return { key, value: Buffer.from(key) };
}

async function play(results: JournalAppendResult[]) {
  const store = createStore(results);
  const stored: string[] = [];
  let isFenced = false;
  const events: string[] = [];
  const task = JournalTask.create({
    store,
    epoch: 4,
    firstSequence: 2,
    onFenced: () => isFenced = true,
    onAppended: () => {},
    log: (event) => events.push(event),
  });
  for (const key of ["a", "b", "c"]) {
    task.post({ kind: "write", entries: [createEntry(key)], onStored: () => stored.push(key) });
  }
  task.post({ kind: "write", entries: [], onStored: () => stored.push("all before") });
  while (!isFenced && stored.at(-1) !== "all before") {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  task.stop();
  return { appended: store.appended, stored, isFenced, events };
}

test("what comes during an append goes with the next, and is stored in order", async (t) => {
  t.snapshot(await play([]));
});

test("a lost answer is asked for again under its number", async (t) => {
  t.snapshot(
    await play([{ outcome: "unanswered", reason: "time" }, { outcome: "refused", status: 503 }]),
  );
});

test("a wrong number is corrected, and a higher epoch ends the journal", async (t) => {
  t.snapshot(await play([{ outcome: "wrong-sequence", expected: 7 }]));
  t.snapshot(await play([{ outcome: "done" }, { outcome: "fenced" }]));
});
