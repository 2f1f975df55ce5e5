import test from "ava";
import { createQueue } from "../stand_ins/fleet_fixtures.ts";
import { Configuration, type Queue } from "./configuration.ts";

/** Creates queues on one host that count how often their path prefixes are read. */
function createCountingQueues(count: number) {
  let reads = 0;
  const queues = Array.from({ length: count }, (_, index): Queue => ({
    ...createQueue({ name: `q-${index}` }),
    get pathPrefix() {
      reads += 1;
      return `/${"p".repeat(index % 7)}${index}/`;
    },
  }));
  return { queues, getReads: () => reads };
}

test("the work for a configuration does not grow with the square of its queues", (t) => {
  const readsPerQueue = [1_000, 10_000].map((count) => {
    const { queues, getReads } = createCountingQueues(count);
    Configuration.create({ version: 1, queues, services: [], customers: [], largestBodyBytes: 0 });
    return getReads() / count;
  });
  // Sorting reads both prefixes of each comparison, of which there are fewer than n log2(n).
  t.true(readsPerQueue[0]! <= 2 * Math.log2(1_000), `${readsPerQueue[0]} reads for each queue`);
  t.true(readsPerQueue[1]! <= 2 * Math.log2(10_000), `${readsPerQueue[1]} reads for each queue`);
});

test("a path is matched with the longest prefix on its host", (t) => {
  const create = (name: string, host: string, pathPrefix: string): Queue =>
    createQueue({ name, host, pathPrefix });
  const configuration = Configuration.create({
    version: 1,
    queues: [
      create("short", "berths.example", "/b/"),
      create("long", "berths.example", "/b/night/"),
      create("middle", "berths.example", "/b/n"),
      create("other", "tugs.example", "/b/night/shift/"),
    ],
    services: [],
    customers: [],
    largestBodyBytes: 0,
  });
  const find = (host: string, path: string) => configuration.findQueue(host, path)?.name ?? "none";
  t.snapshot({
    "a path below two prefixes": find("berths.example", "/b/night/shift/1"),
    "a path below one prefix": find("berths.example", "/b/1"),
    "a path between": find("berths.example", "/b/noon"),
    "a path below none": find("berths.example", "/a"),
    "an unknown host": find("a.example", "/b/"),
  });
});
