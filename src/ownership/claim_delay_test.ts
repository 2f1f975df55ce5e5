import test from "ava";
import { getClaimDelay } from "./claim_delay.ts";

test("hosts with more CPU claim first, and the claims of hosts with equal CPU are spread", (t) => {
  const holders = Array.from({ length: 20 }, (_, number) => `entry-${number}-a1`);
  const delays = [0.324, 0.675, 1, 1.35].map((cores) =>
    holders.map((holder) => getClaimDelay({ holder, epoch: 7, cores, linkMegabits: 1_000 }))
  );
  const [withLeastCpu, , , withMostCpu] = delays;
  t.true(Math.max(...withMostCpu!) < Math.min(...withLeastCpu!));
  t.true(delays.every((delaysOfEqualCpu) => new Set(delaysOfEqualCpu).size > 10));
  t.true(delays.flat().every((delay) => delay >= 0 && delay < 250));
});

test("a host with a slow link claims after those with fast ones, whatever its CPU", (t) => {
  const [slow, fast] = [7, 140].map((linkMegabits) =>
    Array.from(
      { length: 20 },
      (_, number) => getClaimDelay({ holder: `entry-${number}`, epoch: 7, cores: 2, linkMegabits }),
    )
  );
  t.true(Math.max(...fast!) < Math.min(...slow!));
});
