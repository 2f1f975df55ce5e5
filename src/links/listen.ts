/** Starts a listening socket. */

import type { Server } from "node:net";
import { formatSocketAddress, type SocketAddress } from "./socket_address.ts";

/** Listens on an address, and gets the bound address and port. */
export function listen(server: Server, address: SocketAddress): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      const bound = server.address() as { address: string; port: number };
      resolve(formatSocketAddress({ host: bound.address, port: bound.port }));
    });
  });
}
