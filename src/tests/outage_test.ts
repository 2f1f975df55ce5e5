import { Writable } from "node:stream";
import test from "ava";
import { request } from "undici";
import { createCommandLine } from "../commands/command_line.ts";
import { OUTCOME_HEADER } from "../links/problem_document.ts";
import { Rig } from "./rig.ts";

const PROFILE = {
  profile: "open",
  isOpenQueue: true,
  teams: [{ team: "open", share: 1, upperLimit: 24 }],
};

async function call(rig: Rig, entry: string): Promise<string> {
  const address = rig.getEntry(entry).daemon.getAddress("callers");
  const response = await request(`http://${address}/services/clinics/orders`);
  const text = await response.body.text();
  if (response.statusCode === 200) return "answered";
  return `${response.headers[OUTCOME_HEADER]} ${(JSON.parse(text) as { title: string }).title}`;
}

async function getReady(rig: Rig, entry: string): Promise<number> {
  const address = rig.getEntry(entry).daemon.getAddress("callers");
  const response = await request(`http://${address}/ready`);
  await response.body.dump();
  return response.statusCode;
}

async function getStanding(rig: Rig, entry: string): Promise<string> {
  const state = await rig.getClient(entry).getView("/state") as {
    members: { state: { standing: string } };
  };
  return state.members.state.standing;
}

/** Runs a command of the command line, and gets what it prints without the random part of names. */
async function operate(rig: Rig, ...parameters: string[]): Promise<string> {
  const lines: string[] = [];
  const stdout = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(String(chunk));
      done();
    },
  });
  const address = rig.getEntry("entry-1").daemon.getAddress("operators");
  const flags = ["--operator-address", address, "--operator-key", "operator-key-of-the-rig"];
  const code = await createCommandLine().run([...parameters, ...flags], { stdout });
  const text = lines.join("").replaceAll(/-[0-9a-f]{8}/g, "").replaceAll(/ +\d+$/gm, " OFFSET");
  return `${text}exit code ${code}`;
}

async function waitFor<Value>(get: () => Promise<Value>, expected: Value): Promise<Value> {
  for (let tries = 0; tries < 300; tries += 1) {
    if (await get() === expected) break;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  return await get();
}

async function callAll(rig: Rig): Promise<string[]> {
  return await Promise.all([...rig.entries.keys()].sort().map((entry) => call(rig, entry)));
}

function cutOff(rig: Rig, name: string): void {
  rig.getEntry(name).platformLink.cut("*");
  rig.getEntry(name).peerLink.cut("*");
  for (const entry of rig.entries.values()) entry.peerLink.cut(name);
}

function mend(rig: Rig): void {
  for (const entry of rig.entries.values()) entry.peerLink.restore("*");
}

test("an outage of the platform stops no request, and a host cut off as well refuses with not-run", async (t) => {
  const rig = await Rig.start({ entryHosts: 3, executors: 3, zones: ["zone-a"] });
  try {
    await rig.publish("profile-published", PROFILE);
    await rig.publish("profile-picked", { service: "clinics", profile: "open" });
    for (const entry of rig.entries.keys()) {
      t.is(await waitFor(() => call(rig, entry), "answered"), "answered");
    }
    const session: unknown[] = [await callAll(rig), await operate(rig, "member", "list")];

    await rig.setPlatformFaults({ isDown: true });
    for (const entry of rig.entries.keys()) {
      t.is(await waitFor(() => getStanding(rig, entry), "outage"), "outage");
    }
    session.push(await callAll(rig));

    cutOff(rig, "entry-3");
    session.push(await waitFor(() => call(rig, "entry-3"), "not-run isolated"));
    session.push([await getReady(rig, "entry-1"), await getReady(rig, "entry-3")]);
    session.push(await callAll(rig));

    await rig.setPlatformFaults({ isDown: false });
    session.push(await waitFor(() => getStanding(rig, "entry-1"), "current"));
    session.push(await call(rig, "entry-3"));
    mend(rig);
    rig.getEntry("entry-3").platformLink.restore("*");
    session.push(await waitFor(() => call(rig, "entry-3"), "answered"));
    session.push((await operate(rig, "member", "end", "entry-9")).replace(/\d+:/, "OFFSET:"));
    t.snapshot(session);
  } finally {
    await rig.stop();
  }
});
