import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import type { EventLog } from "../events/mod.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { KeyedTopicTask, type KeyedTopicUpdate } from "./keyed_topic_task.ts";
import { StoreClient } from "./store_client.ts";
import { StoreFault, StoreStandIn } from "./stand_in/store_stand_in.ts";

const noLog: EventLog = () => {};

/** The reads after which a test gives up, so that a task that never catches up ends it. */
const MAXIMUM_READS = 12;
/** The rate of a slow link, in bytes per millisecond. */
const SLOW_LINK_BYTES_PER_MILLISECOND = 200;
/** The rate of a fast link, in bytes per millisecond. */
const FAST_LINK_BYTES_PER_MILLISECOND = 5_000;
/** A record that takes 1.2 s on a slow link: the response to a fast read times out after 200 ms. */
const LARGE_RECORD_TEXT = "x".repeat(240_000);
/** A value so large that a response of the store holds only one. */
const HALF_RESPONSE_TEXT = "x".repeat(600_000);
/** The size of a transfer that outlasts any timeout: it takes 5 s on a slow link. */
const LONG_TRANSFER_BYTES = 1_000_000;

/** How long the process does not run, in milliseconds: longer than a usual response may take. */
const PAUSE_MILLISECONDS = 400;

interface FollowOptions {
  store: StoreStandIn;
  log?: EventLog;
  /** Called with each update; the task stops when it returns true. */
  isFinished: (update: KeyedTopicUpdate) => boolean;
}

/** Follows a topic until a test has what it waits for; resolves with whether it got it. */
async function followTopic(options: FollowOptions): Promise<boolean> {
  const { store, log, isFinished } = options;
  const client = StoreClient.create(await store.listen(), noLog);
  let reads = 0;
  let task: KeyedTopicTask | undefined;
  const chooseFault = store.chooseFault;
  const isReceived = await new Promise<boolean>((resolve) => {
    store.chooseFault = (path, host): StoreFault => {
      reads += 1;
      if (reads > MAXIMUM_READS) resolve(false);
      return chooseFault(path, host);
    };
    task = KeyedTopicTask.create({
      store: client,
      topic: "keyed.op",
      waitMilliseconds: 100,
      pauseMilliseconds: 0,
      onUpdate: (update) => {
        if (isFinished(update)) resolve(true);
      },
      clock: ElapsedClock.create(),
      log: log ?? noLog,
    });
  });
  task?.stop();
  client.close();
  store.close();
  return isReceived;
}

test("a record whose transfer takes longer than the usual response is received on a slow link", async (t) => {
  const store = StoreStandIn.create({ bytesPerMillisecond: SLOW_LINK_BYTES_PER_MILLISECOND });
  store.put("keyed.op", "config", "small");
  const received: string[] = [];
  const isReceived = await followTopic({
    store,
    isFinished: ({ changes }) => {
      for (const { key, value } of changes) received.push(`${key}: ${value.length} bytes`);
      if (received.length === 1) store.put("keyed.op", "config", LARGE_RECORD_TEXT);
      return received.length > 1;
    },
  });
  t.snapshot({ isReceived, received });
});

test("a host that is behind by several large values reads only the newest one", async (t) => {
  const store = StoreStandIn.create({ bytesPerMillisecond: FAST_LINK_BYTES_PER_MILLISECOND });
  store.put("keyed.op", "config", 0);
  const updates: { isSnapshot: boolean; versions: number[]; isCurrent: boolean }[] = [];
  const isReceived = await followTopic({
    store,
    isFinished: ({ changes, isSnapshot, asOf }) => {
      const versions = changes.map(({ value }) => parseInt(value.toString().slice(1)) || 0);
      updates.push({ isSnapshot, versions, isCurrent: asOf > -Infinity });
      if (updates.length === 1) {
        for (let version = 1; version <= 8; version += 1) {
          store.put("keyed.op", "config", version + LARGE_RECORD_TEXT);
        }
      }
      return versions.includes(8);
    },
  });
  t.snapshot({ isReceived, updates });
});

test("a host that stays one large value behind becomes current", async (t) => {
  const store = StoreStandIn.create();
  let version = 1;
  const put = () => store.put("keyed.op", "config", version++ + HALF_RESPONSE_TEXT);
  put();
  let updates = 0;
  const isReceived = await followTopic({
    store,
    isFinished: ({ asOf }) => {
      updates += 1;
      if (updates > 1 && asOf > -Infinity) return true;
      // Two values are pending at first, and one is added during each transfer.
      if (updates === 1) put();
      put();
      return false;
    },
  });
  t.true(isReceived, `not current after ${updates} updates`);
});

test("a response that stalls midway is read again", async (t) => {
  const store = StoreStandIn.create();
  store.put("keyed.op", "config", "small");
  const events: string[] = [];
  const received: string[] = [];
  const isReceived = await followTopic({
    store,
    log: (event, fields) => {
      events.push(`${event} ${String(fields?.["reason"]).replace(/ \d+ ms/, "")}`);
    },
    isFinished: ({ changes }) => {
      for (const { key, value } of changes) received.push(`${key}: ${value.length} bytes`);
      if (received.length === 1) {
        let stalledCount = 0;
        store.chooseFault = () => stalledCount++ === 0 ? StoreFault.Stalled : StoreFault.None;
        store.put("keyed.op", "config", LARGE_RECORD_TEXT);
      }
      return received.length > 1;
    },
  });
  t.snapshot({ isReceived, received, events });
});

test("a transfer in progress survives another request's timeout", async (t) => {
  const store = StoreStandIn.create({ bytesPerMillisecond: SLOW_LINK_BYTES_PER_MILLISECOND });
  const client = StoreClient.create(await store.listen(), noLog);
  t.teardown(() => (client.close(), store.close()));
  store.put("keyed.op", "config", "x".repeat(LONG_TRANSFER_BYTES));
  store.chooseFault = (path) => path.includes("claims") ? StoreFault.RequestLost : StoreFault.None;
  const reading = client.read({ topic: "keyed.op", part: 0, from: 0, waitMilliseconds: 0 });
  const lost = await client.read({ topic: "keyed.claims", part: 0, from: 0, waitMilliseconds: 0 });
  const read = await reading;
  t.snapshot({ lost: lost.outcome, read: read.outcome });
});

test("a transfer in progress survives a pause of this process", async (t) => {
  const store = StoreStandIn.create({ bytesPerMillisecond: SLOW_LINK_BYTES_PER_MILLISECOND });
  const client = StoreClient.create(await store.listen(), noLog);
  t.teardown(() => (client.close(), store.close()));
  store.put("keyed.op", "config", LARGE_RECORD_TEXT);
  const reading = client.read({ topic: "keyed.op", part: 0, from: 0, waitMilliseconds: 0 });
  await delay(PAUSE_MILLISECONDS / 2);
  const resumeAt = performance.now() + PAUSE_MILLISECONDS;
  while (performance.now() < resumeAt);
  t.is((await reading).outcome, "done");
});
