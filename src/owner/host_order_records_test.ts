import test from "ava";
import type { Claim } from "../ownership/ownership_ports.ts";
import { createHostOrderEntry, getHostOrderWaits } from "./host_order_records.ts";

const PREVIOUS: Claim = {
  epoch: 4,
  holder: "entry-1-a1",
  hostName: "entry-1",
  address: "10.0.0.1:7000",
  isReleased: false,
  renewal: 50,
};

const ORDERS: [host: string, epoch: number, renewal: number][] = [
  ["ordered just now", 4, 50],
  ["ordered a second ago", 4, 47],
  ["ordered three seconds ago", 4, 40],
  ["ordered six seconds ago", 4, 30],
  ["ordered by the owner before", 3, 900],
];

function getWaits(previous: Claim | undefined): Record<string, number> {
  const stored = ORDERS.map(([host, epoch, renewal]): [string, Uint8Array] => {
    const { key, value } = createHostOrderEntry(host, { epoch, renewal });
    return [key, value!];
  });
  const waits = getHostOrderWaits({
    stored: [...stored, ["job/a", new Uint8Array()]],
    previous,
    leaseMilliseconds: 3_000,
  });
  return Object.fromEntries(waits);
}

test("a new owner leaves alone what was ordered of late, and the rest not at all", (t) => {
  t.snapshot({
    "the owner fell silent": getWaits(PREVIOUS),
    "the owner fell silent after a second": getWaits({ ...PREVIOUS, renewal: 3 }),
    "the owner released its claim": getWaits({ ...PREVIOUS, isReleased: true }),
    "there was no owner": getWaits(undefined),
  });
});
