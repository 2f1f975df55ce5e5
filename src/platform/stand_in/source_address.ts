/** Preloaded into a host's process: its connections start from an address that tells the hosts apart. */

import { syncBuiltinESMExports } from "node:module";
import net from "node:net";

const localAddress = process.env["TANAGERPIN_SOURCE_ADDRESS"];
const connect = net.connect as (options: net.NetConnectOpts) => net.Socket;

net.connect =
  ((options: net.NetConnectOpts) =>
    connect({ ...options, localAddress } as net.NetConnectOpts)) as typeof net.connect;
syncBuiltinESMExports();
