import test from "ava";
import { getPublishedTimeout, RenewalTimeout } from "./renewal_timeout.ts";

test("the published timeout is longer on hosts with little CPU and after slow renewals", (t) => {
  const initial = [2, 0.5, 0.25, 0.05].map((cores) =>
    RenewalTimeout.create(cores).getMilliseconds()
  );
  t.deepEqual(initial, [1_000, 1_000, 2_000, 4_000]);
  const timeout = RenewalTimeout.create(1);
  const afterIntervals = [300, 700, 5_000].map((milliseconds) => {
    timeout.recordInterval(milliseconds, 0);
    return timeout.getMilliseconds();
  });
  t.deepEqual(afterIntervals, [1_000, 2_100, 4_000]);
  timeout.recordInterval(300, 10_000);
  t.is(timeout.getMilliseconds(), 1_000);
});

test("a claim with an invalid timeout is taken over after the minimum", (t) => {
  const published: unknown[] = [undefined, null, Number.NaN, Infinity, "2000", -5, 0, 2_000, 1e9];
  t.deepEqual(
    published.map((value) => getPublishedTimeout(value as number | undefined)),
    [1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 2_000, 4_000],
  );
});
