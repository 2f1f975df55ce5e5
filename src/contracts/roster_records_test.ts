import test from "ava";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { LogRecord } from "../records/record.ts";

function join(memberId: string, peerAddress = memberId, more = {}): [string, unknown] {
  const addresses = { peerAddress, operatorAddress: "o", callerAddress: "c" };
  const body = { memberId, entryHost: `host-${memberId}`, zone: "z", ...addresses };
  return ["member-joined", { ...body, isAddressBound: true, ...more }];
}

function createRecords(bodies: [kind: string, body: unknown, author?: string][]): LogRecord[] {
  return bodies.map(([kind, body, author = "entry"], offset) => {
    return { offset, id: `r${offset}`, kind, version: 1, author, body };
  });
}

const RECORDS = createRecords([
  join("a"),
  join("b"),
  join("c"),
  join("d"),
  ["member-removed", { memberIds: ["d"], rosterOffset: 2 }],
  ["member-removed", { memberIds: ["d", "x"], rosterOffset: 3 }],
  ["member-removed", { memberIds: ["c", "d"], rosterOffset: 3 }],
  ["member-removed", { memberIds: ["b"], rosterOffset: 3 }],
  ["member-forgotten", { memberId: "d" }],
  ["roster-settled", { rosterOffset: 5 }],
  ["roster-settled", { rosterOffset: 6 }],
  ["roster-settled", { rosterOffset: 6 }],
  ["member-forgotten", { memberId: "d" }],
  join("c"),
  join("e", "b"),
  ["member-ended", { memberId: "c" }],
  ["member-ended", { memberId: "c" }],
  ["member-left", { memberId: "a" }, "a"],
  ["member-left", { memberId: "e" }, "operator"],
  join("f", "b", { isAddressBound: false }),
  join("g", "b", { isAddressBound: false }),
  join("h", "i", { predecessor: "f" }),
]);

test("of concurrent changes of a roster one is accepted, and a refused change has no effect", (t) => {
  const { fleet, judged } = foldRecords(Fleet.createEmpty(), RECORDS, RECORD_RULES);
  const roster = fleet.getRoster();
  t.snapshot({
    verdicts: judged.map(({ record, verdict }) =>
      `${record.offset} ${record.kind} ${
        JSON.stringify(record.body)
      }: ${verdict.outcome} ${verdict.reason}`
        .trim()
    ),
    history: roster.getHistory(),
    departures: roster.getDepartures(),
  });
});
