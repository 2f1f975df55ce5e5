import test from "ava";
import { prove } from "./prove.ts";
import { createSchedule, Fault } from "./schedule.ts";

const OPTIONS = {
  seed: 8,
  milliseconds: 14_000,
  meanMilliseconds: 900,
  faults: Object.values(Fault),
};

test("the fault schedule of the short test", (t) => {
  t.snapshot(
    createSchedule(OPTIONS).map((scheduled) =>
      `${scheduled.atMilliseconds} ms: ${scheduled.fault} for ${scheduled.lastsMilliseconds} ms`
    ),
  );
});

test("every invariant holds through a short schedule of faults on separate processes", async (t) => {
  const { broken, counts } = await prove({
    ...OPTIONS,
    entryHosts: 4,
    writeLine: (line) => t.log(line),
  });
  t.log(counts);
  t.deepEqual(broken, []);
  t.true((counts["answered"] ?? 0) > 0);
});
