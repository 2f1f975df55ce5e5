/** Compares TLS session resumption on another entry host with a full handshake. */

import { connect as connectTls, type TLSSocket } from "node:tls";
import { HttpListener } from "../links/http_listener.ts";
import { parseSocketAddress } from "../links/socket_address.ts";
import { deriveTicketKeys } from "../links/tls_identity.ts";
import { LOOPBACK_IDENTITY } from "../stand_ins/loopback_certificate.ts";
import type { Measurement, MeasurementCell } from "./measurement.ts";

/** Measurement `resumption`. */
export const RESUMPTION_MEASUREMENT: Measurement = {
  name: "resumption",
  run: async (options) => {
    const ticketKeys = deriveTicketKeys({ key: LOOPBACK_IDENTITY.key, wallTime: 0 });
    const hosts = [createListener(ticketKeys), createListener(ticketKeys)] as const;
    const [first, second] = [await hosts[0].listen(), await hosts[1].listen()];
    const rounds = options.isQuick ? 100 : 1_000;
    try {
      await measure(rounds / 10, first, second);
      const rows = await measure(rounds, first, second);
      const title = `TLS 1.3 connections to another entry host, ${rounds} of each in turn`;
      const columns = ["handshake", "median ms", "p99 ms", "processor ms, both sides", "resumed"];
      return [{ title, columns, rows, brokenInvariants: [] }];
    } finally {
      for (const host of hosts) host.close();
    }
  },
};

function createListener(ticketKeys: Buffer): HttpListener {
  return HttpListener.create({
    address: { host: "127.0.0.1", port: 0 },
    tls: { ...LOOPBACK_IDENTITY, ticketKeys },
    handle: (_request, response) => response.end("done"),
  });
}

interface HandshakeSamples {
  times: number[];
  processorMilliseconds: number;
  resumed: number;
}

async function measure(rounds: number, first: string, second: string) {
  const full: HandshakeSamples = { times: [], processorMilliseconds: 0, resumed: 0 };
  const resumed: HandshakeSamples = { times: [], processorMilliseconds: 0, resumed: 0 };
  for (let round = 0; round < rounds; round += 1) {
    const session = await connectOnce(first, undefined, full);
    await connectOnce(second, session, resumed);
  }
  return [createRow("full", full), createRow("resumed by shared tickets", resumed)];
}

/** Connects and gets the session ticket; measures the time until the client's handshake is complete. */
function connectOnce(
  address: string,
  session: Buffer | undefined,
  handshakes: HandshakeSamples,
): Promise<Buffer> {
  const start = performance.now();
  const processor = process.cpuUsage();
  return new Promise((resolve, reject) => {
    const socket: TLSSocket = connectTls({
      ...parseSocketAddress(address)!,
      ca: LOOPBACK_IDENTITY.certificate,
      ...(session && { session }),
    });
    socket.on("error", reject);
    socket.on("secureConnect", () => handshakes.times.push(performance.now() - start));
    let ticket: Buffer = Buffer.alloc(0);
    socket.on("session", (received: Buffer) => ticket = received);
    socket.on("data", () => {
      const { user, system } = process.cpuUsage(processor);
      handshakes.processorMilliseconds += (user + system) / 1_000;
      if (socket.isSessionReused()) handshakes.resumed += 1;
      socket.destroy();
      resolve(ticket);
    });
    socket.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  });
}

function createRow(name: string, handshakes: HandshakeSamples): MeasurementCell[] {
  const sorted = handshakes.times.sort((a, b) => a - b);
  const quantile = (fraction: number) => round(sorted[Math.floor(fraction * (sorted.length - 1))]!);
  const processor = round(handshakes.processorMilliseconds / sorted.length);
  return [name, quantile(0.5), quantile(0.99), processor, `${handshakes.resumed}/${sorted.length}`];
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
