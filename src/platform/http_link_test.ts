import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { pauseProcess } from "../stand_ins/pause_process.ts";
import { HttpLink, type LinkConnection, type NoResponseError } from "./http_link.ts";
import { StandInServer } from "./stand_in/stand_in_server.ts";

const IDLE_TIMEOUT_MILLISECONDS = 200;
/** How long a test waits for a request that should fail, in milliseconds. */
const PATIENCE_MILLISECONDS = 8_000;
/** The size of the pieces in which an endless response is sent. */
const PIECE_BYTES = 100_000;

/** Starts a server that never ends its responses, or never answers `/silent`. */
async function startEndlessServer() {
  const server = StandInServer.create(async (request, _body, response) => {
    while (request.url !== "/silent" && !response.destroyed) {
      response.write(Buffer.alloc(PIECE_BYTES));
      await delay(1);
    }
  });
  return { server, address: await server.listen() };
}

/** Calls a path, and gets how the exchange ended. */
async function getOutcome(
  link: HttpLink,
  path: string,
  limits: { sendLimitMilliseconds?: number } = {},
): Promise<string> {
  const request = { step: "read", method: "GET", path, ...limits } as const;
  const outcome = link.call({ ...request, idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS })
    .then(() => "complete", () => "failed");
  return await Promise.race([outcome, delay(PATIENCE_MILLISECONDS).then(() => "still open")]);
}

test("closing a link fails the requests of a replaced pool too", async (t) => {
  const { server, address } = await startEndlessServer();
  const link = HttpLink.create({ address, connections: 2, maximumResponseBytes: Infinity });
  t.teardown(() => (link.close(), server.close()));
  const endless = getOutcome(link, "/endless");
  const silent = await getOutcome(link, "/silent");
  link.close();
  t.deepEqual([silent, await endless], ["failed", "failed"]);
});

test("a response without an end is aborted", async (t) => {
  const { server, address } = await startEndlessServer();
  const link = HttpLink.create({ address, connections: 1, maximumResponseBytes: 4_000_000 });
  t.teardown(() => (link.close(), server.close()));
  t.is(await getOutcome(link, "/endless"), "failed");
});

test("a request with a send limit is not sent after a pause of the process, and others are", async (t) => {
  const received: string[] = [];
  const server = StandInServer.create((request, _body, response) => {
    received.push(request.url ?? "");
    response.end();
  });
  const address = await server.listen();
  const links = [1, 2].map(() => HttpLink.create({ address, connections: 1 }));
  t.teardown(() => (links.forEach((link) => link.close()), server.close()));
  const sendLimitMilliseconds = IDLE_TIMEOUT_MILLISECONDS;
  const limited = getOutcome(links[0]!, "/limited", { sendLimitMilliseconds });
  void getOutcome(links[1]!, "/unlimited");
  // The connections are being opened, and open while the process is paused.
  pauseProcess(2 * IDLE_TIMEOUT_MILLISECONDS);
  t.is(await limited, "failed");
  t.is(await getOutcome(links[0]!, "/later", { sendLimitMilliseconds }), "complete");
  t.deepEqual(received.sort(), ["/later", "/unlimited"]);
});

// Guards against a request for one process that reaches the next one at its address.
test("a request that waits for its connection is not sent over the next one", async (t) => {
  const received: string[] = [];
  const server = StandInServer.create((request, _body, response) => {
    received.push(request.url ?? "");
    if (request.url === "/broken") setTimeout(() => request.socket.destroy(), 50);
    else response.end();
  });
  const address = await server.listen();
  const link = HttpLink.create({ address, connections: 1 });
  t.teardown(() => (link.close(), server.close()));
  const call = (path: string, connection?: LinkConnection) => {
    const request = { step: "read", method: "POST", path, body: "{}", connection } as const;
    return link.call({ ...request, idleTimeoutMilliseconds: PATIENCE_MILLISECONDS })
      .then(() => "complete", (error: NoResponseError) => error.isSent ? "sent" : "not sent");
  };
  t.is(await call("/first"), "complete");
  const connection = link.getConnection()!;
  t.truthy(connection);
  const broken = call("/broken", connection);
  const outcomes = [broken, call("/bound", connection), call("/free")];
  t.deepEqual(await Promise.all(outcomes), ["sent", "not sent", "complete"]);
  t.deepEqual(received, ["/first", "/broken", "/free"]);
  t.not(link.getConnection(), connection);
});
