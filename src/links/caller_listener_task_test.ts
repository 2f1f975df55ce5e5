import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import type { Caller, CallerRequest } from "../requests/exchange.ts";
import { CallerListenerTask } from "./caller_listener_task.ts";
import { parseSocketAddress } from "./socket_address.ts";

const LARGEST_BYTES = 1_000;
const ANSWER = { status: 200, headers: {}, body: Buffer.from("done") };

interface Listening {
  task: CallerListenerTask;
  address: string;
  started: CallerRequest[];
  callers: Caller[];
}

async function listen(t: ExecutionContext, isAnswering = true): Promise<Listening> {
  const started: CallerRequest[] = [];
  const callers: Caller[] = [];
  const task = CallerListenerTask.create({
    address: { host: "127.0.0.1", port: 0 },
    limits: { headersTimeoutMilliseconds: 300, keepAliveTimeoutMilliseconds: 300 },
    bodyLimits: {
      largestBytes: LARGEST_BYTES,
      mostDiscardedBytes: 5_000,
      timeoutMilliseconds: 300,
    },
    isReady: () => true,
    addRoutes: () => undefined,
    startRequest: (request, caller) => {
      started.push(request);
      callers.push(caller);
      if (isAnswering) caller.answer(ANSWER);
    },
  });
  t.teardown(() => task.stop());
  return { task, address: await task.listen(), started, callers };
}

/** Sends bytes, and gets all that comes back until the other side closes. */
function exchange(address: string, ...parts: string[]): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(parseSocketAddress(address)!);
    let received = "";
    socket.on("data", (bytes) => received += bytes.toString());
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(received));
    for (const part of parts) socket.write(part);
  });
}

/** Gets what a caller sees of a response: the status, some headers and the body's outcome. */
function describe(received: string): string[] {
  return received.split(/(?=HTTP\/1\.1 )/).map((response) => {
    const [head, body] = response.split("\r\n\r\n") as [string, string | undefined];
    const lines = head.split("\r\n");
    const kept = lines.filter((line) => /^(HTTP|connection|tanagerpin|retry-after)/i.test(line));
    const problem = /^\{/.test(body ?? "") ? JSON.parse(body!) : undefined;
    return [...kept, problem?.title ?? body ?? ""].join(" | ");
  });
}

function createPost(length: number | string, body: string): string {
  const head = `POST /services/hotels/rooms HTTP/1.1\r\nhost: h\r\n`;
  return `${head}content-length: ${length}\r\n\r\n${body}`;
}

test("what callers that keep to no bounds are told; nothing of theirs is started", async (t) => {
  const { address, started } = await listen(t);
  const chunk = "x".repeat(4_000);
  const chunked =
    "POST /services/hotels/rooms HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
  const hex = chunk.length.toString(16);
  const expecting = "POST /services/hotels/rooms HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n" +
    "connection: close\r\ncontent-length: 2000\r\n\r\n";
  const session = {
    "a body a little too large": await exchange(address, createPost(2_000, "x".repeat(2_000))),
    "a body far too large": await exchange(
      address,
      chunked,
      ...Array.from({ length: 3 }, () => `${hex}\r\n${chunk}\r\n`),
    ),
    "a body too large that was announced": await exchange(address, expecting),
    "a body that stops": await exchange(address, createPost(500, "x")),
    "a head that stops": await exchange(address, "GET /services/hotels/rooms HTTP/1.1\r\nhost"),
    "a head too large": await exchange(
      address,
      `GET / HTTP/1.1\r\nhost: h\r\nx: ${"x".repeat(20_000)}\r\n\r\n`,
    ),
    "no HTTP": await exchange(address, "hello\r\n\r\n"),
    "a wrong timeout": await exchange(
      address,
      "GET /services/hotels/rooms HTTP/1.1\r\nhost: h\r\nconnection: close\r\n" +
        "tanagerpin-timeout-milliseconds: soon\r\n\r\n",
    ),
  };
  t.snapshot(
    Object.fromEntries(Object.entries(session).map(([name, text]) => [name, describe(text)])),
  );
  t.deepEqual(started, []);
});

test("a connection carries several requests, and is closed when it idles", async (t) => {
  const { address, started } = await listen(t);
  const received = await exchange(address, createPost(2, "ab"), createPost(2, "cd"));
  t.snapshot(describe(received));
  t.deepEqual(started.map((request) => Buffer.from(request.body).toString()), ["ab", "cd"]);
});

test("a draining listener answers what runs, and asks its callers to connect elsewhere", async (t) => {
  const { task, address, callers } = await listen(t, false);
  const first = exchange(address, createPost(2, "ab"));
  while (callers.length < 1) await new Promise((resolve) => setTimeout(resolve, 5));
  task.post({ kind: "drain" });
  const second = exchange(address, createPost(2, "cd"));
  while (callers.length < 2) await new Promise((resolve) => setTimeout(resolve, 5));
  let isFinished = false;
  const finished = new Promise<void>((resolve) => task.post({ kind: "finish", reply: resolve }))
    .then(() => isFinished = true);
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.false(isFinished);
  for (const caller of callers) caller.answer(ANSWER);
  t.snapshot([describe(await first), describe(await second)]);
  await finished;
  t.deepEqual(task.getState(), { received: 2, open: 0, isDraining: true });
});

test("a caller that leaves is told to its request once", async (t) => {
  const { address, callers } = await listen(t, false);
  const socket = connect(parseSocketAddress(address)!);
  socket.write(createPost(2, "ab"));
  while (callers.length < 1) await new Promise((resolve) => setTimeout(resolve, 5));
  let left = 0;
  const gone = new Promise<void>((resolve) =>
    callers[0]!.onDisconnect(() => {
      left += 1;
      resolve();
    })
  );
  socket.destroy();
  await gone;
  t.is(left, 1);
});
