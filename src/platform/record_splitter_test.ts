import test from "ava";
import type { JournalEntry } from "../owner/owner_ports.ts";
import { RecordSplitter } from "./record_splitter.ts";

/** The maximum size of a record, in bytes, of which a key takes up to 256 and a header 3. */
const RECORD_BYTES = 300;

/** A keyed topic: the newest value of each key. */
function store(topic: Map<string, Uint8Array>, entries: readonly JournalEntry[]): void {
  for (const { key, value } of entries) {
    if (value === undefined) topic.delete(key);
    else topic.set(key, value);
  }
}

// Guards against a value over the limit of a record, whose append is refused for good.
test("values of any size are restored, and no part outlives its value", (t) => {
  const topic = new Map<string, Uint8Array>();
  const writer = RecordSplitter.create(RECORD_BYTES);
  const write = (splitter: RecordSplitter, size: number | undefined) => {
    const value = size === undefined ? undefined : Buffer.alloc(size, "abc");
    const entries = [{ key: "job/1", value }];
    const split = splitter.split(entries);
    splitter.recordStored(entries);
    store(topic, split);
    const [read] = RecordSplitter.create(RECORD_BYTES).join(topic);
    return {
      keys: [...topic.keys()],
      largest: Math.max(0, ...[...topic.values()].map(({ length }) => length)),
      isRestored: read === undefined ? size === undefined : value?.equals(read[1]),
    };
  };
  const states = [10, 100, 60, 41, undefined].map((size) => write(writer, size));
  write(writer, 100);
  const nextOwner = RecordSplitter.create(RECORD_BYTES);
  nextOwner.join(topic);
  t.snapshot({ states, "deleted by the next owner": write(nextOwner, undefined) });
});
