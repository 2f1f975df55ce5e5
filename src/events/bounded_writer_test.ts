import test from "ava";
import { BoundedWriter } from "./bounded_writer.ts";

function write(lines: readonly string[], writableLength = 0): string[] {
  const written: string[] = [];
  const writer = BoundedWriter.create({ write: (text) => written.push(text), writableLength });
  for (const line of lines) writer.add(line);
  writer.flush();
  return written;
}

test("lines are never split across writes, and writes stay within the atomic pipe size", (t) => {
  const lines = Array.from({ length: 100 }, (_, number) => `event=task-start number=${number}`);
  const long = "x".repeat(5_000);
  const written = write([...lines, long, ...lines, ...lines]);
  t.is(written.join(""), [...lines, long, ...lines, ...lines].map((line) => `${line}\n`).join(""));
  t.true(written.every((text) => text.endsWith("\n")));
  t.deepEqual(written.filter((text) => text.length > 4_096), [`${long}\n`]);
});

test("lines are dropped and counted while the stream is congested", (t) => {
  t.deepEqual(write(["a", "b"], 1_000_001), ["event=log-lines-dropped count=2\n"]);
});
