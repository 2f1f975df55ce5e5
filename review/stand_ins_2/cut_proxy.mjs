/**
 * A TCP proxy on loopback with the latency of a link, which can be cut, so that it passes on nothing and
 * closes nothing, or reset all connections.
 */

import { connect, createServer } from "node:net";

/** Passes connections on to a port of loopback. */
export class CutProxy {
  #server;
  #targetPort;
  #latencyMilliseconds;
  #pairs = new Set();
  #isCut = false;
  #isResetting = false;

  /** Creates a proxy; the latency is one way. */
  constructor(targetPort, latencyMilliseconds = 0) {
    this.#targetPort = targetPort;
    this.#latencyMilliseconds = latencyMilliseconds;
    this.#server = createServer({ noDelay: true }, (client) => {
      client.on("error", () => {});
      if (this.#isResetting) return void client.resetAndDestroy();
      const target = connect({ host: "127.0.0.1", port: this.#targetPort, noDelay: true });
      const pair = [client, target];
      this.#pairs.add(pair);
      if (this.#isCut) { for (const socket of pair) socket.pause(); }
      this.#pass(client, target);
      this.#pass(target, client);
      const close = () => {
        this.#pairs.delete(pair);
        // Behind a cut, the other side doesn't learn that a connection was closed.
        if (!this.#isCut) { for (const socket of pair) socket.destroy(); }
      };
      for (const socket of pair) {
        socket.on("error", () => {});
        socket.on("close", () => this.#defer(close));
      }
    });
  }

  /** Listens on a free loopback port, and returns the address. */
  async listen() {
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return this.address;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Passes new connections on to another port. */
  setTarget(port) {
    this.#targetPort = port;
  }

  /** Passes on nothing from now on; bytes are held. */
  cut() {
    this.#isCut = true;
    for (const pair of this.#pairs) for (const socket of pair) socket.pause();
  }

  /** Resets all connections, and each new one. */
  reset() {
    this.#isResetting = true;
    for (const [client, target] of this.#pairs) {
      client.resetAndDestroy();
      target.destroy();
    }
  }

  /** Passes on the bytes that were held, and all later ones. */
  heal() {
    this.#isCut = false;
    this.#isResetting = false;
    for (const pair of this.#pairs) for (const socket of pair) socket.resume();
  }

  close() {
    this.#server.close();
    for (const pair of this.#pairs) for (const socket of pair) socket.destroy();
  }

  #pass(from, to) {
    from.on("data", (bytes) =>
      this.#defer(() => {
        if (to.writable) to.write(bytes);
      }));
  }

  #defer(act) {
    if (this.#latencyMilliseconds === 0) act();
    else setTimeout(act, this.#latencyMilliseconds);
  }
}
