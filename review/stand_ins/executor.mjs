// Stand-in for an executor, as PROTOCOL.md describes it. Each process is one incarnation.
// Prints one JSON line for each start and each end of a run. The text of a job gives the duration
// of its tasks as `ms=NUMBER`, or `ms=lasting`; `gang=COUNT` makes them a gang that checkpoints.
import { createServer, request as httpRequest } from "node:http";

const options = JSON.parse(process.argv[2]);
const { id, service, zone, machine, rack, port, store, stopMs, heartbeatMs, capacity } = options;
const MAX_HOLD_MS = 10_000;
const ENDS_IN_ANSWER = 500;
const GANG_WAIT_MS = 3_000;
const CHECKPOINT_MS = 500;
const RESTORE_MS = 250;

const born = Date.now();
const startedAt = performance.now();
const getClock = () => Math.floor(performance.now() - startedAt);
const running = new Map();
const highestRuns = new Map();
let ends = [];
let lastEnd = 0;
let fence = 0;
let deadline = 0;
let seq = 0;
const waiting = new Set();

function report(event, fields) {
  console.log(JSON.stringify({ at: Date.now(), event, executor: id, born, ...fields }));
}

function endRun(run, how) {
  running.delete(run.task);
  clearTimeout(run.timer);
  run.gangCall?.destroy();
  highestRuns.set(run.task, Math.max(run.run, highestRuns.get(run.task) ?? 0));
  lastEnd += 1;
  const saved = how === "done" ? "" : getCheckpoint(run);
  ends.push([lastEnd, run.task, run.run, how, saved]);
  report("end", { task: run.task, run: run.run, how, checkpoint: saved });
  for (const wake of [...waiting]) wake();
}

function extendLease(until) {
  if (typeof until !== "number") return;
  deadline = Math.max(deadline, Math.min(until, getClock() + MAX_HOLD_MS));
}

setInterval(() => {
  if (getClock() <= deadline) return;
  for (const run of [...running.values()]) endRun(run, "lapsed");
}, 5);

function start(order) {
  if ((order.fence ?? 0) < fence) return [409, "fence"];
  fence = order.fence ?? 0;
  if (order.deadlineMs !== undefined && getClock() > order.deadlineMs) return [409, "late"];
  extendLease(order.deadlineMs);
  const present = running.get(order.task);
  if (present?.run === order.run) return [200];
  if (present !== undefined || order.run <= (highestRuns.get(order.task) ?? 0)) return [409, "old"];
  const duration = /ms=(\w+)/.exec(order.taskSpec)?.[1] ?? "100";
  const run = { task: order.task, run: order.run, at: performance.now(), duration };
  running.set(run.task, run);
  const gangSize = /gang=(\d+)/.exec(order.taskSpec)?.[1];
  if (gangSize !== undefined) {
    run.checkpoint = order.lastCheckpoint ?? "";
    joinGang(run, Number(gangSize));
  } else if (duration !== "lasting") {
    run.timer = setTimeout(() => endRun(run, "done"), Number(duration));
  }
  report("start", { task: run.task, run: run.run, fence, checkpoint: run.checkpoint });
  return [200];
}

/** Joins the other tasks of the run's gang, and waits for them. */
function joinGang(run, count) {
  const [host, storePort] = store.split(":");
  const call = httpRequest({ host, port: storePort, method: "POST", path: "/control/gang" });
  run.gangCall = call;
  call.on("error", () => {});
  call.on("response", (response) => {
    response.on("error", () => {});
    response.on("data", (bytes) => {
      for (const word of String(bytes).split("\n")) {
        if (word === "go") {
          clearTimeout(run.timer);
          run.begunAt = performance.now() + (run.checkpoint === "" ? 0 : RESTORE_MS);
        }
        const isOver = word === "done" || word === "broken";
        if (isOver && running.get(run.task) === run) endRun(run, word);
      }
    });
  });
  run.timer = setTimeout(() => endRun(run, "alone"), GANG_WAIT_MS);
  const step = run.task.slice(0, run.task.lastIndexOf("."));
  const milliseconds = Number(run.duration);
  call.end(JSON.stringify({ step, run: run.run, count, checkpoint: run.checkpoint, milliseconds }));
}

/** Gets the latest checkpoint of a gang's run: the work up to it, in milliseconds. */
function getCheckpoint(run) {
  if (run.checkpoint === undefined) return "";
  const before = parseInt(run.checkpoint || "0", 16);
  const worked = run.begunAt === undefined ? 0 : Math.max(0, performance.now() - run.begunAt);
  const saved = before + Math.floor(worked / CHECKPOINT_MS) * CHECKPOINT_MS;
  return saved === 0 ? "" : saved.toString(16).padStart(16, "0");
}

function stop(order) {
  if ((order.fence ?? 0) < fence) return [409, "fence"];
  fence = order.fence ?? 0;
  highestRuns.set(order.task, Math.max(order.run, highestRuns.get(order.task) ?? 0));
  const run = running.get(order.task);
  if (run?.run !== order.run || run.isStopping) return [200];
  run.isStopping = true;
  setTimeout(() => {
    if (running.get(order.task) === run) endRun(run, "stopped");
  }, stopMs);
  return [200];
}

function getPercent(run) {
  const age = performance.now() - run.at;
  if (run.checkpoint !== undefined) {
    const work = parseInt(getCheckpoint(run) || "0", 16);
    return Math.min(99, Math.floor(100 * work / Number(run.duration)));
  }
  if (run.duration === "lasting") return age > 100 ? 100 : 0;
  return Math.min(99, Math.floor(100 * age / Number(run.duration)));
}

async function hold(order, response) {
  if ((order.fence ?? 0) < fence) return sendJson(response, 409, { reason: "fence" });
  fence = order.fence ?? 0;
  extendLease(order.deadlineMs);
  const noted = ends.filter(([number]) => number <= (order.lastSeen ?? 0));
  for (const [, task, run] of noted) report("noted", { task, run });
  ends = ends.filter(([number]) => number > (order.lastSeen ?? 0));
  if (ends.length === 0 && order.waitMs > 0) {
    await new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, order.waitMs);
      waiting.add(finish);
    });
  }
  sendJson(response, 200, {
    born,
    running: [...running.values()].map((run) => [
      run.task,
      run.run,
      getCheckpoint(run),
      getPercent(run),
      0,
    ]),
    ended: ends.slice(0, ENDS_IN_ANSWER),
  });
}

function sendJson(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify({ clockMs: getClock(), ...body }));
}

const server = createServer(async (request, response) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const instance = request.headers["expect-instance"];
  if (instance !== undefined && instance !== id) return sendJson(response, 421, {});
  if (request.url === "/health") return sendJson(response, 200, {});
  const order = JSON.parse(Buffer.concat(chunks).toString());
  if (request.url === "/-/hold") return await hold(order, response);
  const answers = { "/-/run-start": start, "/-/run-stop": stop, "/-/pace": () => [200] };
  const [status, reason] = answers[request.url]?.(order) ?? [404];
  sendJson(response, status, reason === undefined ? {} : { reason });
});

/** Writes this executor's entry to the store, as it does with each heartbeat. */
function register() {
  seq += 1;
  const value = {
    service,
    addr: options.addr ?? `127.0.0.1:${port}`,
    zone,
    version: "v1",
    slots: 8,
    state: "ready",
    coldLeftMs: 0,
    machine,
    capacity,
    labels: ["a", rack],
    clockMs: getClock(),
    born,
    seq,
  };
  const [host, storePort] = store.split(":");
  const call = httpRequest({ host, port: storePort, method: "POST", path: "/control/put" });
  call.on("error", () => {});
  call.on("response", (response) => response.resume());
  call.end(JSON.stringify({ topic: "keyed.servers", key: id, value }));
}

server.listen(port, "127.0.0.1", () => {
  report("up", {});
  register();
  setInterval(register, heartbeatMs);
});
process.on("disconnect", () => process.exit(0));
