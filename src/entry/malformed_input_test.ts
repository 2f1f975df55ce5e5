import test from "ava";
import fc from "fast-check";
import { decodeRecordText, RecordTextError } from "../links/record_text.ts";
import { profileSchema } from "../profiles/profile_data.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import { createProjectedFleetRecord } from "../measurements/projected_fleet.ts";
import { ENTRY_SETTINGS } from "./entry_settings.ts";
import { RECORD_RULES } from "./record_rules.ts";
import { readSettings } from "./setting.ts";

const SEED = 31;

/** Valid records that are mutated: an enrolment and one change of each kind. */
const VALID_RECORDS = [0, 21_000, 21_001, 21_002, 21_003].map((offset) =>
  createProjectedFleetRecord(offset)
);

const kinds = fc.constantFrom(...RECORD_RULES.keys());

/** An arbitrary JSON value, or a valid body with one field replaced by an arbitrary value. */
const bodies = fc.oneof(
  fc.jsonValue(),
  fc.tuple(fc.constantFrom(...VALID_RECORDS), fc.nat(20), fc.jsonValue()).map(
    ([record, index, value]) => {
      const body = { ...record.body as Record<string, unknown> };
      const names = Object.keys(body);
      body[names[index % names.length]!] = value;
      return body;
    },
  ),
);

test("the fold gives a verdict on every record, whatever its body", (t) => {
  fc.assert(
    fc.property(fc.array(fc.tuple(kinds, bodies), { maxLength: 30 }), (drawn) => {
      const records = drawn.map(([kind, body], offset) => ({
        offset,
        id: `r${offset}`,
        kind,
        version: 1,
        author: "operator",
        body,
      }));
      const { fleet, judged } = foldRecords(Fleet.createEmpty(), records, RECORD_RULES);
      t.is(judged.length, records.length);
      const restored = Fleet.createFromData(JSON.parse(JSON.stringify(fleet.toData())));
      t.deepEqual(JSON.stringify(restored.toData()), JSON.stringify(fleet.toData()));
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

test("a text of the log decodes to a record or throws an error with its step", (t) => {
  const texts = fc.oneof(fc.string(), fc.json(), fc.string().map((text) => `{"id":"${text}"}`));
  fc.assert(
    fc.property(texts, (text) => {
      try {
        t.true(decodeRecordText(text, "platform").id.length > 0);
      } catch (error) {
        t.true(error instanceof RecordTextError && error.step === "decode-record");
      }
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

test("any settings are read or reported as invalid", (t) => {
  const names = Object.keys(ENTRY_SETTINGS);
  const flags = fc.dictionary(fc.constantFrom(...names), fc.string());
  fc.assert(
    fc.property(flags, (drawn) => {
      const result = readSettings({ table: ENTRY_SETTINGS, flags: drawn, environment: {} });
      t.true(result.outcome === "valid" || result.issues.length > 0);
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

test("any profile is accepted or refused without an exception", (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      t.notThrows(() => profileSchema.safeParse(value));
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});
