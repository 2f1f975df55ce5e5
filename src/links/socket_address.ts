/** Socket addresses: an IP address and a port. */

import { isIP } from "node:net";

/** A socket address. */
export interface SocketAddress {
  /** The IP address. */
  host: string;
  /** The port; with 0 the operating system chooses one. */
  port: number;
}

/** Parses an address such as `127.0.0.1:8080` or `[::1]:8080`; undefined if it is invalid. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || isIP(host) === 0 || port > 65_535) return undefined;
  return { host, port };
}

/** Formats an address, with an IPv6 address in brackets. */
export function formatSocketAddress(address: SocketAddress): string {
  const host = address.host.includes(":") ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}
