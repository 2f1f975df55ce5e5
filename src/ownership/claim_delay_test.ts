import test from "ava";
import { getClaimDelay } from "./claim_delay.ts";

test("the strongest hosts claim first, and hosts of one size do not claim at once", (t) => {
  const holders = Array.from({ length: 20 }, (_, number) => `entry-${number}-a1`);
  const delays = [0.324, 0.675, 1, 1.35].map((cores) =>
    holders.map((holder) => getClaimDelay({ holder, epoch: 7, cores }))
  );
  const [weakest, , , strongest] = delays;
  t.true(Math.max(...strongest!) < Math.min(...weakest!));
  t.true(delays.every((ofOneSize) => new Set(ofOneSize).size > 10));
  t.true(delays.flat().every((delay) => delay >= 0 && delay < 250));
});
