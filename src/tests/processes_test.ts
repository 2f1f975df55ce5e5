import test from "ava";
import { runFaultInjection } from "./fault_injection.ts";
import { createFaultSchedule, Fault } from "./fault_schedule.ts";

const OPTIONS = {
  seed: 8,
  milliseconds: 14_000,
  meanMilliseconds: 900,
  faults: Object.values(Fault),
};

test("the schedule of the short proof", (t) => {
  t.snapshot(
    createFaultSchedule(OPTIONS).map((scheduled) =>
      `${scheduled.atMilliseconds} ms: ${scheduled.fault} for ${scheduled.lastsMilliseconds} ms`
    ),
  );
});

test("every invariant holds through a short schedule of faults on separate processes", async (t) => {
  const { violations: violations, counts } = await runFaultInjection({
    ...OPTIONS,
    entryHosts: 4,
    writeLine: (line) => t.log(line),
  });
  t.log(counts);
  t.deepEqual(violations, []);
  t.true((counts["answered"] ?? 0) > 0);
});
