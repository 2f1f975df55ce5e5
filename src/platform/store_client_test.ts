import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { StoreClient } from "./store_client.ts";
import { StandInServer } from "./stand_in/stand_in_server.ts";

/** The end and the first offset of an empty partition. */
const EMPTY_PARTITION = Buffer.alloc(16);
/** The requested wait of a read, in milliseconds. */
const WAIT_MILLISECONDS = 500;
/** When the store answers reads of the slow topic, in milliseconds: after the first timeout. */
const SLOW_ANSWER_MILLISECONDS = 900;

test("a topic with slow responses is received beside a topic with quick ones", async (t) => {
  const server = StandInServer.create(async (request, _body, response) => {
    if (request.url?.includes("keyed.op")) await delay(SLOW_ANSWER_MILLISECONDS);
    response.end(EMPTY_PARTITION);
  });
  const store = StoreClient.create(await server.listen(), () => {});
  t.teardown(() => (store.close(), server.close()));
  const read = async (topic: string) =>
    (await store.read({ topic, part: 0, from: 0, waitMilliseconds: WAIT_MILLISECONDS })).outcome;
  const outcomes: string[] = [];
  while (outcomes.length < 8 && outcomes.at(-1) !== "done") {
    outcomes.push(await read("keyed.op"));
    await read("keyed.claims");
  }
  t.is(outcomes.at(-1), "done", outcomes.join(" "));
});
