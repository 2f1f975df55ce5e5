import test from "ava";
import { getEarlierLeases } from "./lease_bounds.ts";
import type { Claim } from "./ownership_ports.ts";

const HELD: Claim = {
  epoch: 1,
  holder: "a-1",
  hostName: "a",
  address: "10.0.0.1:7000",
  isReleased: false,
  renewal: 3,
  leaseMilliseconds: 0,
};
const RELEASED: Claim = { ...HELD, isReleased: true };

// Guards against a successor that takes the leases of earlier owners to be shorter than they are.
test("the leases that a successor assumes follow from how the claim came to it", (t) => {
  const claims: Record<string, Claim | undefined> = {
    "there was no claim": undefined,
    "held until it expired": HELD,
    "released, no lease remains": RELEASED,
    "released after an outage": { ...RELEASED, leaseMilliseconds: 5_300 },
    "released by an old version": { ...RELEASED, leaseMilliseconds: undefined } as never,
    "released with an unusable figure": { ...RELEASED, leaseMilliseconds: -1 },
    "released with the lease of a restarted executor": { ...RELEASED, leaseMilliseconds: 9_900 },
  };
  t.snapshot(
    Object.fromEntries(
      Object.entries(claims).map(([name, claim]) => [name, getEarlierLeases(claim, 10_000)]),
    ),
  );
});
