import { connect as connectTls, type TLSSocket } from "node:tls";
import test, { type ExecutionContext } from "ava";
import { LOOPBACK_IDENTITY } from "../stand_ins/loopback_certificate.ts";
import { HttpListener } from "./http_listener.ts";
import { parseSocketAddress } from "./socket_address.ts";
import { deriveTicketKeys, TICKET_PERIOD_MILLISECONDS } from "./tls_identity.ts";

async function listen(t: ExecutionContext, ticketKeys: Buffer | undefined): Promise<string> {
  const listener = HttpListener.create({
    address: { host: "127.0.0.1", port: 0 },
    tls: { ...LOOPBACK_IDENTITY, ticketKeys },
    handle: (_request, response) => response.end("done"),
  });
  t.teardown(() => listener.close());
  return await listener.listen();
}

/**
 * Sends a request over a new connection, and gets its session and whether the given one was
 * resumed.
 */
function sendRequest(address: string, session?: Buffer) {
  return new Promise<{ isResumed: boolean; session: Buffer }>((resolve, reject) => {
    const socket: TLSSocket = connectTls({
      ...parseSocketAddress(address)!,
      ca: LOOPBACK_IDENTITY.certificate,
      ...(session && { session }),
    });
    socket.on("error", reject);
    let ticket: Buffer = Buffer.alloc(0);
    socket.on("session", (received: Buffer) => ticket = received);
    socket.on("data", () => {
      resolve({ isResumed: socket.isSessionReused(), session: ticket });
      socket.destroy();
    });
    socket.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  });
}

test("a session is resumed on another host with the ticket keys of the same period", async (t) => {
  const deriveKeys = (wallTime: number) =>
    deriveTicketKeys({ key: LOOPBACK_IDENTITY.key, wallTime });
  const first = await listen(t, deriveKeys(0));
  const samePeriod = await listen(t, deriveKeys(TICKET_PERIOD_MILLISECONDS - 1));
  const nextPeriod = await listen(t, deriveKeys(TICKET_PERIOD_MILLISECONDS));
  const ownKeys = await listen(t, undefined);
  const { session } = await sendRequest(first);
  const resumed: Record<string, boolean> = {};
  for (const [name, address] of Object.entries({ first, samePeriod, nextPeriod, ownKeys })) {
    resumed[name] = (await sendRequest(address, session)).isResumed;
  }
  t.snapshot(resumed);
});

test("the ticket keys depend on the private key and on the period", (t) => {
  const derive = (key: string, wallTime: number) =>
    deriveTicketKeys({ key, wallTime }).toString("hex");
  const day = 86_400_000;
  t.is(derive("key", day), derive("key", day + 1));
  t.not(derive("key", day), derive("other", day));
  t.not(derive("key", day), derive("key", 2 * day));
  t.is(derive("key", day).length, 96);
});
