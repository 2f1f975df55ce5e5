import { createServer, type Server } from "node:http";
import test from "ava";
import { listen } from "../links/listen.ts";
import { Daemon, toFlags } from "../tests/daemon.ts";

const LOOPBACK = { host: "127.0.0.1", port: 0 };

/** How long a registration takes at the platform. */
const REGISTRATION_MILLISECONDS = 500;

/** Creates a platform that registers hosts slowly. */
function createSlowPlatform(onRegistered: () => void): Server {
  return createServer((request, response) => {
    request.resume();
    setTimeout(() => {
      onRegistered();
      response.end();
    }, REGISTRATION_MILLISECONDS);
  });
}

for (const kind of ["executor", "worker"]) {
  // Whoever waits for `listening` and then enrols the listed hosts would miss this one.
  test(`a stand-in does not report that it listens before the platform lists it: ${kind}`, async (t) => {
    const events: string[] = [];
    const platform = createSlowPlatform(() => events.push("registered"));
    const flags = toFlags({
      name: "clinics-1",
      address: "127.0.0.1:0",
      pool: "clinics",
      zone: "zone-a",
      "platform-address": await listen(platform, LOOPBACK),
    });
    const daemon = await Daemon.start(["stand-in", kind, ...flags]);
    events.push("listening");
    await daemon.kill();
    platform.close();
    t.snapshot(events);
  });
}
