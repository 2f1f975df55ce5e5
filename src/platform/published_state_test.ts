import test from "ava";
import fc from "fast-check";
import type { EventLog } from "../events/mod.ts";
import { Configuration } from "../fleet/configuration.ts";
import { createExecutorDeletionEntry, readStoredExecutors } from "../owner/executor_records.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { getRunOptions } from "../tests/run_options.ts";
import { ExecutorList } from "./published_state.ts";
import { decodeKeyedRecord, encodeKeyedRecord } from "./store_client.ts";

const GOOD_ENTRY = {
  service: "berthbook",
  addr: "10.0.0.1:8080",
  zone: "zl-a",
  version: "v1",
  slots: 8,
  state: "ready",
  machine: "m-1",
  born: 1_790_000_000_000,
  labels: ["a", "r1"],
  capacity: { cpu: 8_000, memMb: 16_000 },
  seq: 1,
};
const NESTING_DEPTH = 10_000;
const MAXIMUM_AMOUNT = 1e9;

function encode(parts: Record<string, unknown>): Buffer {
  return Buffer.from(JSON.stringify({ ...GOOD_ENTRY, ...parts }));
}

/** Encodes the good entry with a field whose JSON text is given, as not every value has one. */
function encodeWithText(field: string, text: string): Buffer {
  return Buffer.from(`${JSON.stringify(GOOD_ENTRY).slice(0, -1)},"${field}":${text}}`);
}

const DEEP_ARRAY = "[".repeat(NESTING_DEPTH) + "]".repeat(NESTING_DEPTH);
const DEEP_OBJECT = '{"a":'.repeat(NESTING_DEPTH) + "0" + "}".repeat(NESTING_DEPTH);

const ODD_VALUES: Record<string, Buffer> = {
  "a port over 65,535": encode({ addr: "10.0.0.2:70000" }),
  "port 0": encode({ addr: "10.0.0.2:0" }),
  "an octet over 255": encode({ addr: "10.0.0.256:8080" }),
  "an address without octets": encode({ addr: "...:8080" }),
  "a capacity beyond any machine": encode({ capacity: { cpu: 1e308 } }),
  "an infinite capacity": encodeWithText("capacity", '{"cpu":1e999}'),
  "a negative capacity": encode({ capacity: { cpu: 8_000, memMb: -1 } }),
  "a deeply nested array": encodeWithText("labels", DEEP_ARRAY),
  "a deeply nested entry": Buffer.from(DEEP_OBJECT),
  "a good entry with a megabyte more": encodeWithText("x", "[".repeat(5e5) + "]".repeat(5e5)),
  "a zone without a name": encode({ zone: "" }),
  "a service with a long name": encode({ service: "b".repeat(1_000) }),
  "a long label": encode({ labels: ["l".repeat(1_000)] }),
  "too many labels": encode({ labels: Array.from({ length: 10_000 }, () => "") }),
  "bytes that are no text": Buffer.concat([encode({}).subarray(0, 12), Buffer.from([0xff, 0xfe])]),
  "a name with bytes that are no text": Buffer.from(
    JSON.stringify(GOOD_ENTRY).replace("zl-a", "zl-\xff"),
    "latin1",
  ),
};

/** Creates an empty list, and collects the reasons for which it leaves entries out. */
function createList() {
  const reasons: Record<string, unknown> = {};
  const log: EventLog = (_event, fields) =>
    reasons[String(fields?.["executor"])] = fields?.["reason"];
  return { list: ExecutorList.create(log), reasons };
}

test("an invalid entry in the executor list is skipped and does not affect the valid ones", (t) => {
  const { list, reasons } = createList();
  const odd = Object.entries(ODD_VALUES).map(([name, value]) => ({
    key: name.replaceAll(" ", "-"),
    value,
  }));
  const changes = [...odd, { key: "i-good", value: encode({}) }, ...odd];
  list.apply({ changes, isSnapshot: true, asOf: 0, end: changes.length });
  t.deepEqual(list.getEntries().map(({ id }) => id), ["i-good"]);
  t.snapshot({ reasons, listed: list.getEntries() });
});

test("no listed id leaves the journal a record that the next owner can't read", (t) => {
  const ids: Record<string, Buffer> = {
    "as long as a key can be": Buffer.alloc(255, "i"),
    "an empty one": Buffer.alloc(0),
    "bytes that are no text": Buffer.alloc(86, 0xff),
    "beyond what a header can hold": Buffer.from("i-\u2603"),
    "with a line break": Buffer.from("i-1\r\nfence: 9"),
    "a usual one": Buffer.from("i-0ace943662"),
  };
  const { list, reasons } = createList();
  const byId = Object.entries(ids).map(([name, id]) => {
    const record = Buffer.concat([Buffer.from([id.length]), id, encode({})]);
    list.apply({ changes: [decodeKeyedRecord(record)!], isSnapshot: true, asOf: 0, end: 0 });
    const records = list.getEntries().map((entry) =>
      decodeKeyedRecord(encodeKeyedRecord(createExecutorDeletionEntry(entry.id).key, undefined))!
    );
    // A record without a value deletes its key.
    const remaining = records.filter(({ value }) => value.length > 0);
    readStoredExecutors(remaining.map(({ key, value }) => [key, value]));
    return [name, { written: records.map(({ key }) => key), remaining: remaining.length }];
  });
  t.snapshot({ byId: Object.fromEntries(byId), reasons });
});

test("an entry with an odd start time does not end the executor of its id, whose task runs on", (t) => {
  const oddStartTimes: Record<string, Buffer> = {
    "none": encode({ born: undefined }),
    "text": encode({ born: "1790000000000" }),
    "0": encode({ born: 0 }),
    "a fraction": encode({ born: 1_790_000_000_000.5 }),
    "in microseconds": encode({ born: 1_790_000_000_000_000 }),
    "beyond whole numbers": encodeWithText("born", "1e300"),
  };
  const startsByTime = Object.entries(oddStartTimes).map(([name, odd]) => {
    const { list } = createList();
    const harness = createOwnerHarness({
      configuration: Configuration.create({
        version: 1,
        queues: [createQueue({ service: GOOD_ENTRY.service })],
        services: [{ name: GOOD_ENTRY.service, isGuarded: false, isSpare: false }],
        customers: [],
        largestBodyBytes: 1,
      }),
      executors: [],
    });
    const write = (key: string, value: Buffer) => {
      list.apply({ changes: [{ key, value }], isSnapshot: false, asOf: 0, end: 0 });
      harness.advance(() => harness.owner.setExecutors(list.getEntries()));
    };
    for (const id of ["i-1", "i-2"]) {
      write(id, encode({}));
      harness.reportNoRuns(createListedExecutor({ id, born: GOOD_ENTRY.born }));
    }
    const specification = {
      text: "",
      steps: [createStepSpecification()],
      repeats: 0,
      firstAt: 0,
      intervalMilliseconds: 0,
    };
    const job = { id: "j", queue: "tugs", customer: "", specification };
    harness.advance(() => harness.owner.submit(job, () => {}));
    harness.advance();
    const running = harness.starts[0]!.executor.id;
    write(running, odd);
    write(running, encode({}));
    harness.advance();
    return [name, harness.starts.map(({ task }) => task)];
  });
  const once = Object.keys(oddStartTimes).map((name) => [name, ["j.0.0.0"]]);
  t.deepEqual(startsByTime, once);
});

test("arbitrary entries in the executor list never hide a valid one or list an unusable one", (t) => {
  const oddNumber = fc.constantFrom("1e999", "-1e999", "1e308", "-1", "0.5", "9007199254740993");
  const oddText = fc.oneof(
    fc.json({ maxDepth: 3 }),
    oddNumber,
    fc.constantFrom(DEEP_ARRAY, DEEP_OBJECT, '"' + "x".repeat(5_000) + '"'),
    fc.nat(99_999).map((port) => `"10.0.0.${port % 300}:${port}"`),
    oddNumber.map((number) => `{"cpu":${number},"memMb":${number},"gpu":${number}}`),
  );
  const value = fc.oneof(
    fc.uint8Array({ maxLength: 60 }).map((bytes) => Buffer.from(bytes)),
    fc.json().map((text) => Buffer.from(text)),
    fc.tuple(fc.constantFrom(...Object.keys(GOOD_ENTRY)), oddText)
      .map(([field, text]) => encodeWithText(field, text)),
  );
  const key = fc.constantFrom("i-1", "i-2", "__proto__");
  const updates = fc.array(
    fc.record({ changes: fc.array(fc.record({ key, value })), isSnapshot: fc.boolean() }),
    { minLength: 1, maxLength: 4 },
  );
  let oddListed = 0;
  fc.assert(
    fc.property(updates, (applied) => {
      const { list } = createList();
      for (const { changes, isSnapshot } of applied) {
        const good = { key: "i-good", value: encode({}) };
        list.apply({ changes: [good, ...changes], isSnapshot, asOf: 0, end: 0 });
        const entries = list.getEntries();
        oddListed += entries.length - 1;
        if (!entries.some(({ id }) => id === "i-good")) throw new Error("the good entry is lost");
        for (const { address, capacity } of entries) {
          if (new URL(`http://${address}`).port === "0") throw new Error(`no port: ${address}`);
          const amounts = Object.values(capacity);
          if (amounts.some((amount) => !(amount >= 0 && amount <= MAXIMUM_AMOUNT))) {
            throw new Error(`capacity ${amounts.join(" ")}`);
          }
        }
      }
    }),
    { ...getRunOptions({ seed: 20261205, numRuns: 500 }), includeErrorInReport: true },
  );
  t.true(oddListed > 100, `only ${oddListed} odd entries were listed`);
});
