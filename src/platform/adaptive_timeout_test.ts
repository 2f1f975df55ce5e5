import test from "ava";
import { AdaptiveTimeout } from "./adaptive_timeout.ts";

/** Simulates requests with the given latencies in milliseconds, and lists their timeouts. */
function simulate(latencies: readonly (number | "lost")[]): string[] {
  const timeout = AdaptiveTimeout.create();
  return latencies.map((latency) => {
    const milliseconds = timeout.getMilliseconds();
    const isAnswered = latency !== "lost" && latency <= milliseconds;
    if (isAnswered) timeout.recordResponse(latency);
    else timeout.recordFailure();
    return `${milliseconds} ms: ${isAnswered ? `answered after ${latency}` : "timed out"}`;
  });
}

test("a lost response times out soon, and the timeout grows with a slow platform", (t) => {
  t.snapshot({
    "two of five responses are lost": simulate([8, "lost", 9, "lost", "lost", 8, 8]),
    "the platform becomes slow and recovers": simulate([8, 380, 380, 380, 380, 380, 8, 8, 8, 8]),
    "the platform does not respond": simulate([8, ...Array<"lost">(7).fill("lost"), 8, 8]),
  });
});
