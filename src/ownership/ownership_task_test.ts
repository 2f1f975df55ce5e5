import test from "ava";
import fakeTimers from "@sinonjs/fake-timers";
import { ElapsedClock } from "../tasks/mod.ts";
import type { Claim, ClaimAppendResult } from "./ownership_ports.ts";
import { OwnershipTask, type OwnershipView } from "./ownership_task.ts";

/** The claims topic, shared by all hosts, which each read a claim some time after it was appended. */
class ClaimLog {
  claims: Claim[] = [];
  /** The hosts that cannot reach the store. */
  readonly disconnected = new Set<string>();

  append(host: string, claim: Claim, at: number): ClaimAppendResult {
    if (this.disconnected.has(host)) return { outcome: "failed" };
    if (at !== this.claims.length) return { outcome: "lost" };
    this.claims.push(claim);
    return { outcome: "done", end: this.claims.length };
  }
}

interface TestHost {
  name: string;
  task: OwnershipTask;
  views: OwnershipView[];
}

interface Harness {
  clock: ReturnType<typeof fakeTimers.install>;
  log: ClaimLog;
  hosts: TestHost[];
  /** Advances the clock while each host reads the claims every 100 ms. */
  advance: (milliseconds: number) => Promise<void>;
}

function createHarness(names: string[]): Harness {
  const clock = fakeTimers.install({
    toFake: ["setInterval", "clearInterval", "setTimeout", "clearTimeout", "Date", "performance"],
  });
  const log = new ClaimLog();
  const elapsed = ElapsedClock.create();
  const hosts = names.map((name, index): TestHost => {
    const views: OwnershipView[] = [];
    const task = OwnershipTask.create({
      holder: `${name}-1`,
      hostName: name,
      address: `10.0.0.${index + 1}:7000`,
      getDelay: () => index * 100,
      appendClaim: (claim, at) => Promise.resolve(log.append(name, claim, at)),
      onOwnership: (view) => views.push(view),
      clock: elapsed,
      getMonotonicTime: () => performance.now(),
      log: () => {},
    });
    task.post({ kind: "enable" });
    return { name, task, views };
  });
  const read = () => {
    for (const { name, task } of hosts) {
      if (log.disconnected.has(name)) continue;
      const latest = {
        claim: log.claims.at(-1),
        end: log.claims.length,
        freshAt: elapsed.getElapsed(),
      };
      task.post({ kind: "claim-update", update: latest });
    }
  };
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += 50) {
      if (time % 100 === 0) read();
      await clock.tickAsync(50);
    }
  };
  return { clock, log, hosts, advance };
}

function getOwners({ hosts }: Harness): string[] {
  return hosts.filter(({ views }) => views.at(-1)?.isMine).map(({ name }) => name);
}

function getEpochs({ log }: Harness): [number, string][] {
  const epochs = new Map(log.claims.map((claim) => [claim.epoch, claim.hostName]));
  return [...epochs];
}

async function runScenario(act: (harness: Harness) => Promise<unknown>): Promise<unknown> {
  const harness = createHarness(["front-a", "front-b", "front-c"]);
  try {
    return await act(harness);
  } finally {
    for (const { task } of harness.hosts) task.stop();
    harness.clock.uninstall();
  }
}

test.serial("one host claims and renews, and another takes over when the renewals stop", async (t) => {
  const result = await runScenario(async (harness) => {
    await harness.advance(1_000);
    const first = getOwners(harness);
    harness.log.disconnected.add("front-a");
    await harness.advance(900);
    const beforeSilence = getOwners(harness);
    await harness.advance(1_000);
    const after = getEpochs(harness);
    harness.log.disconnected.delete("front-a");
    await harness.advance(300);
    return { first, beforeSilence, after, atLast: getOwners(harness) };
  });
  t.snapshot(result);
});

test.serial("a released claim is taken over at once, and its former holder makes no new one", async (t) => {
  const result = await runScenario(async (harness) => {
    await harness.advance(1_000);
    harness.hosts[0]!.task.post({ kind: "release" });
    await harness.advance(400);
    const soon = getEpochs(harness);
    harness.hosts[1]!.task.post({ kind: "release" });
    harness.hosts[2]!.task.post({ kind: "release" });
    await harness.advance(3_000);
    return { soon, atLast: getEpochs(harness), owners: getOwners(harness) };
  });
  t.snapshot(result);
});

test.serial("a claim is taken over without a time-out once its holder process has ended", async (t) => {
  const result = await runScenario(async (harness) => {
    await harness.advance(1_000);
    harness.log.disconnected.add("front-a");
    harness.hosts[1]!.task.post({ kind: "holder-ended", holder: "front-a-1" });
    await harness.advance(200);
    return getEpochs(harness);
  });
  t.snapshot(result);
});
