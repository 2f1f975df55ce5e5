import test from "ava";
import { TransferDeadline } from "./transfer_deadline.ts";

interface Exchange {
  sentBytes: number;
  waitMilliseconds: number;
  /** When something arrives, in milliseconds, and how many bytes. */
  received: readonly [at: number, bytes: number][];
}

const IDLE_TIMEOUT_MILLISECONDS = 200;

/** Gets when an exchange that starts at 1,000 ms times out, in milliseconds. */
function getTimeoutTime({ sentBytes, waitMilliseconds, received }: Exchange): number {
  const deadline = TransferDeadline.create({
    sentAt: 1_000,
    sentBytes,
    waitMilliseconds,
    idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
  });
  for (const [at, bytes] of received) {
    if (at >= deadline.getTime()) break;
    deadline.recordReceived(bytes, at);
  }
  return deadline.getTime();
}

/** Lists arrivals in regular steps, from 1,000 ms on. */
function arrive(count: number, step: number, bytes: number): [number, number][] {
  return Array.from({ length: count }, (_, index) => [1_000 + (index + 1) * step, bytes]);
}

test("an exchange times out when it is silent or too slow, however large it is", (t) => {
  t.snapshot({
    "nothing arrives": getTimeoutTime({ sentBytes: 0, waitMilliseconds: 0, received: [] }),
    "nothing arrives after the wait": getTimeoutTime({
      sentBytes: 0,
      waitMilliseconds: 500,
      received: [],
    }),
    "nothing arrives after an upload of 100 kB": getTimeoutTime({
      sentBytes: 100_000,
      waitMilliseconds: 0,
      received: [],
    }),
    "silent after the headers": getTimeoutTime({
      sentBytes: 0,
      waitMilliseconds: 500,
      received: [[1_008, 0]],
    }),
    "1 MB in a second, then silent": getTimeoutTime({
      sentBytes: 0,
      waitMilliseconds: 500,
      received: arrive(100, 10, 10_000),
    }),
    "8 MB in 10 s, then silent": getTimeoutTime({
      sentBytes: 0,
      waitMilliseconds: 0,
      received: arrive(1_000, 10, 8_000),
    }),
    "a byte each 10 ms": getTimeoutTime({
      sentBytes: 0,
      waitMilliseconds: 0,
      received: arrive(1_000, 10, 1),
    }),
  });
});
