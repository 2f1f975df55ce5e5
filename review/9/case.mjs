/**
 * LOST: all hosts are stopped at once. Each goes on taking requests, and cuts those that it has held
 * for over a second when it exits, without an answer.
 */

import { BOUNDS, delay, runCase, send } from "../stand_ins_2/world.mjs";

const KEY = "key-of-mine-office";
const DEADLINE_MILLISECONDS = 3_000;
const INTERVAL_MILLISECONDS = 100;
/** Of the time that a request has, the part after which an end of its connection isn't counted. */
const COUNTED_FRACTION = 0.7;

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "berth-sweep",
    host: "jobs.example",
    pathPrefix: "/sweeps/",
    service: "berthbook",
    priority: 1,
    maxAttempts: 4,
    stretch: 1.6,
    targetLatencyMs: 600,
  }],
  services: [{ name: "berthbook" }],
  limits: { maxBodyBytes: 262_144 },
  tenants: [{ name: "mine-office", apiKeys: [KEY], weight: 1, ceiling: {} }],
};

await runCase(new URL("record.txt", import.meta.url), async (world, isTrouble) => {
  const broken = [];
  const onStart = (worker, { task, run }) =>
    world.note(`${worker.id} starts a task`, { task, run });
  const onEnd = (worker, { task, run }, how) =>
    world.note(`${worker.id} ends a task`, { task, run, how });
  const getDuration = () => 300;
  for (const id of ["w-1", "w-2"]) {
    await world.startWorker({ id, service: "berthbook", cpu: 32_000, getDuration, onStart, onEnd });
  }
  world.publish(CONFIGURATION);
  await world.startHosts(3);
  await delay(BOUNDS.contactMs + 500);
  const requests = [];
  const submit = async (host, number) => {
    const path = `/sweeps/${number.toString(16).padStart(16, "0")}`;
    const step = { count: 1, cpu: 1_000, memMb: 1_000, estRuntimeMs: 300 };
    const text = JSON.stringify({ taskSpec: "sweep the berths", steps: [step] });
    const headers = {
      host: "jobs.example",
      "x-api-key": KEY,
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      "deadline-ms": String(DEADLINE_MILLISECONDS),
    };
    const sentAt = performance.now();
    world.note(`POST ${path} to ${host.name}`);
    try {
      const call = { method: "POST", path, headers, text };
      const answer = await send(host.callers, call, DEADLINE_MILLISECONDS);
      world.note(`POST ${path}: ${answer.status}`);
    } catch (error) {
      const took = Math.round(performance.now() - sentAt);
      world.note(`POST ${path}: no answer`, { reason: error.message, took });
      const isRefused = error.code === "ECONNREFUSED";
      const isCounted = took > BOUNDS.lossSlackMs &&
        took < DEADLINE_MILLISECONDS * COUNTED_FRACTION;
      if (isCounted && !isRefused) {
        broken.push(
          `LOST: ${host.name} ends the connection of ${path} ${took} ms after it was sent`,
        );
      }
    }
  };
  if (isTrouble) { for (const host of world.hosts) host.signal("SIGTERM"); }
  const until = performance.now() + BOUNDS.graceS * 1_000;
  for (let number = 1; performance.now() < until; number += 1) {
    // With no host in rotation, the balancer uses all of the zone.
    requests.push(submit(world.hosts[number % world.hosts.length], number));
    await delay(INTERVAL_MILLISECONDS);
  }
  await Promise.all(requests);
  return broken;
});
