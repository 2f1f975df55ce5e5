import test from "ava";
import type { JournalEntry } from "../owner/owner_ports.ts";
import { JournalTask } from "./journal_task.ts";
import type { JournalAppendResult, JournalStore } from "./ownership_ports.ts";

interface AppendCall {
  keys: string[];
  sequence: number;
}

/** Creates a store that gives the results to the appends in turn; later appends succeed. */
function createStore(results: JournalAppendResult[]): JournalStore & { appended: AppendCall[] } {
  const appended: AppendCall[] = [];
  return {
    appended,
    append: (entries, _epoch, sequence) => {
      appended.push({ keys: entries.map(({ key }) => key), sequence });
      return Promise.resolve(results.shift() ?? { outcome: "done" });
    },
    readAll: () => Promise.resolve([]),
  };
}

/** Creates an entry with a value of the given size in bytes. */
function createEntry(key: string, size = 1): JournalEntry {
  return { key, value: Buffer.alloc(size) };
}

async function writeEntries(results: JournalAppendResult[], entrySize?: number) {
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
    task.post({
      kind: "write",
      entries: [createEntry(key, entrySize)],
      onStored: () => stored.push(key),
    });
  }
  task.post({ kind: "write", entries: [], onStored: () => stored.push("all before") });
  while (!isFenced && stored.at(-1) !== "all before") {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  task.stop();
  return { appended: store.appended, stored, isFenced, events };
}

test("entries that arrive during an append are batched into the next one, in order", async (t) => {
  t.snapshot(await writeEntries([]));
});

test("an append that fails or gets no answer is retried with the same sequence number", async (t) => {
  t.snapshot(
    await writeEntries([{ outcome: "unanswered", reason: "time" }, {
      outcome: "refused",
      status: 503,
    }]),
  );
});

test("a wrong sequence number is corrected, and a higher epoch stops the journal", async (t) => {
  t.snapshot(await writeEntries([{ outcome: "wrong-sequence", expected: 7 }]));
  t.snapshot(await writeEntries([{ outcome: "done" }, { outcome: "fenced" }]));
});

test("a backlog of large writes is split, so that a lost append is noticed soon", async (t) => {
  const { appended } = await writeEntries([], 60_000);
  t.snapshot(appended);
});

// Guards against one write that can't succeed and holds back all others.
test("a write that can't be stored is dropped, and those beside it are stored", async (t) => {
  const unstorable = { outcome: "unstorable", reason: "status 400" } as const;
  t.snapshot(await writeEntries([{ outcome: "done" }, unstorable, unstorable]));
});
