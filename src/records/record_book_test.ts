import test from "ava";
import fc from "fast-check";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "./fleet.ts";
import { foldRecords } from "./fold.ts";
import { createMalformedRecord, type LogRecord } from "./record.ts";
import { RecordBook } from "./record_book.ts";

const SEED = 3;
const HASH = "0".repeat(64);
const TEAM = "mine-desk";

/** A log in which keys come and go, limits change, and one entry is malformed. */
const LOG: LogRecord[] = ([
  ["key-granted", { keyId: "k1", team: TEAM, secretHash: HASH }],
  ["key-granted", { keyId: "k2", team: TEAM, secretHash: HASH }],
  ["profile-published", { profile: "p", teams: [{ team: TEAM, share: 1, upperLimit: 8 }] }],
  ["malformed", {}],
  ["key-withdrawn", { keyId: "k1" }],
  ["profile-published", { profile: "p", teams: [{ team: TEAM, share: 1, upperLimit: 3 }] }],
  ["key-granted", { keyId: "k3", team: TEAM, secretHash: HASH }],
  ["key-withdrawn", { keyId: "k3" }],
  ["key-withdrawn", { keyId: "k2" }],
  ["profile-published", { profile: "p", teams: [{ team: TEAM, share: 1, upperLimit: 9 }] }],
] as [string, unknown][]).map(([kind, body], offset) =>
  kind === "malformed"
    ? createMalformedRecord(offset, "no JSON")
    : { offset, id: `r${offset}`, kind, version: 1, author: "operator", body }
);

const deliveries = fc.array(fc.array(fc.constantFrom(...LOG)));

test("any order of delivery ends in the same fleet, and no step goes back", (t) => {
  const expected = foldRecords(Fleet.createEmpty(), LOG, RECORD_RULES).fleet.toData();
  fc.assert(
    fc.property(deliveries, (batches) => {
      const book = RecordBook.create({ rules: RECORD_RULES });
      let offset = -1;
      for (const batch of [...batches, LOG]) {
        book.addRecords(batch);
        t.true(book.getFleet().offset >= offset);
        offset = book.getFleet().offset;
      }
      t.deepEqual(book.getFleet().toData(), expected);
      t.deepEqual(book.getEffectiveFleet().toData(), expected);
    }),
    { seed: SEED },
  );
});

test("what a host may act on never exceeds the rights at any offset it has heard of", (t) => {
  fc.assert(
    fc.property(deliveries, (batches) => {
      const book = RecordBook.create({ rules: RECORD_RULES });
      const heard: LogRecord[] = [];
      for (const batch of batches) {
        heard.push(...batch);
        book.addRecords(batch);
        const fleet = book.getEffectiveFleet();
        const withdrawn = heard.filter((record) => record.kind === "key-withdrawn");
        for (const { body } of withdrawn) {
          const key = fleet.getKey((body as { keyId: string }).keyId);
          t.true(key === undefined || key.isWithdrawn());
        }
      }
    }),
    { seed: SEED },
  );
});

test("a withdrawal and a lowered limit take effect ahead of their place, a raise waits", (t) => {
  const book = RecordBook.create({ rules: RECORD_RULES });
  const show = (step: string) => {
    const fleet = book.getEffectiveFleet();
    const keys = fleet.getKeys().map((key) =>
      `${key.getId()}${key.isWithdrawn() ? " withdrawn" : ""}`
    );
    const limit = fleet.getTeam(TEAM)?.getUpperLimit();
    return `${step}: offset ${fleet.offset}, keys ${keys.join(", ")}, limit ${limit}`;
  };
  const steps = [
    [LOG.slice(0, 3), "first three"],
    [[LOG[9]!], "a raise ahead"],
    [[LOG[4]!], "a withdrawal ahead"],
    [[LOG[5]!], "a lowered limit ahead"],
    [[LOG[7]!], "a withdrawal of a key not granted yet"],
    [[LOG[3]!], "the gap before them closed"],
    [LOG.slice(6, 9), "the rest"],
  ] as const;
  t.snapshot(steps.map(([records, name]) => {
    book.addRecords(records);
    return show(name);
  }));
});

test("an older snapshot is never applied over a newer fleet", (t) => {
  const book = RecordBook.create({ rules: RECORD_RULES });
  const older = foldRecords(Fleet.createEmpty(), LOG.slice(0, 3), RECORD_RULES).fleet;
  book.addRecords(LOG.slice(0, 6));
  t.false(book.restore(older));
  t.is(book.getFleet().offset, 5);
  const newer = foldRecords(Fleet.createEmpty(), LOG.slice(0, 8), RECORD_RULES).fleet;
  t.true(book.restore(newer));
  book.addRecords(LOG);
  t.is(book.getFleet().offset, LOG.length - 1);
});

test("a program that passed over a newer record publishes no snapshot", (t) => {
  const newer = { offset: 0, id: "r0", kind: "tide-published", version: 1, author: "", body: {} };
  const versions = [
    newer,
    { ...LOG[0]!, version: 2 },
    createMalformedRecord(0, "no JSON"),
    LOG[0]!,
  ];
  t.deepEqual(
    versions.map((record) => {
      const book = RecordBook.create({ rules: RECORD_RULES });
      book.addRecords([record]);
      return book.hasUnknownData();
    }),
    [true, true, false, false],
  );
  const data = { ...Fleet.createEmpty().toData(), offset: 4 };
  const withTides = { ...data, tables: { ...data.tables, tides: [] } };
  const book = RecordBook.create({ rules: RECORD_RULES });
  t.true(book.restore(Fleet.createFromData(withTides)));
  t.true(book.hasUnknownData());
});
