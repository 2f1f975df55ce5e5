// A small deployment on loopback: the platform's store, the list of machines, executors, entry hosts
// and clients. The store is the project's own stand-in; the rest is here.

import { spawn } from "node:child_process";
import { randomBytes, randomInt } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as httpRequest } from "node:http";
import { createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { StoreStandIn } from "../../dist/platform/stand_in/store_stand_in.js";

export { delay };

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const HOST_COMMAND = ["--max-old-space-size=200", "target/platform_main.js", "7001"];
/** The bounds of the small deployments (DEPLOY.md, and the sheet of Softfill Accra). */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  strictRevoke: true,
  revokeMs: 5000,
  quotaWindowS: 5,
  quotaOverage: 0.1,
  quotaSlack: 20,
  evacuateMs: 5000,
  recoveryS: 12,
  maxHoldMs: 10000,
  stopMs: 400,
  gangWaitMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  farX: 2,
  checkpointS: 0.5,
  restoreMs: 250,
  noticeMs: 4500,
  moveS: 1.5,
  upkeepS: 2,
  enforceFencing: false,
  leaseMs: 3000,
  thawSlackMs: 300,
  paceMs: 100,
  harmMs: 4000,
};
const HEARTBEAT_MILLISECONDS = 1500;
/** How long the platform takes to start a process that has ended. */
const RESTART_MILLISECONDS = 500;
const ZONES = ["gh-south-a", "gh-south-b", "gh-south-c"];

/** Writes what happens to `record.txt` of a case and to standard output. */
export class Recorder {
  #lines = [];
  #startedAt = performance.now();

  add(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} ${text}`);
  }

  write(folder) {
    writeFileSync(join(folder, "record.txt"), this.#lines.join("\n") + "\n");
  }
}

function chooseIp() {
  return `127.${randomInt(1, 250)}.${randomInt(1, 250)}.1`;
}

function getFreePort(ip) {
  return new Promise((resolve, reject) => {
    const server = createNetServer();
    server.on("error", reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

function readBody(request) {
  return new Promise((resolve) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", () => resolve(undefined));
  });
}

function sendJson(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** One entry host, started with the command of the deploy file. */
class EntryHost {
  constructor(rig, name, zone) {
    this.rig = rig;
    this.name = name;
    this.zone = zone;
    this.ip = chooseIp();
    this.lines = [];
  }

  async prepare() {
    const { ip } = this;
    this.front = await getFreePort(ip);
    this.ready = await getFreePort(ip);
    const peers = await getFreePort(ip);
    const control = await getFreePort(ip);
    const settings = {
      node: this.name,
      role: "entry",
      machineClass: "front",
      serves: ["front"],
      ip,
      zone: this.zone,
      region: "gh-south",
      zones: Object.fromEntries(ZONES.map((zone) => [zone, "gh-south"])),
      listen: {
        front: `${ip}:${this.front}`,
        ready: `${ip}:${this.ready}`,
        control: `${ip}:${control}`,
      },
      portRange: [peers, peers],
      seeds: [],
      bootstrap: true,
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb: 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: "platform",
      entry: "vip",
      heartbeatMs: HEARTBEAT_MILLISECONDS,
      faultTolerance: { machines: 1, zones: 1, regions: 0 },
      bounds: BOUNDS,
      orders: "call",
      ...(this.rig.advice === undefined ? {} : { advice: this.rig.advice }),
      platform: {
        addr: this.rig.storeAddress,
        form: "log",
        writesPerS: 600,
        readsPerS: 2000,
        parts: 32,
        appendMs: 2,
        partBwS: 20,
        readBwS: 80,
        recordBytes: 262144,
        callBytes: 2097152,
        keep_s: 300,
        partMb: 200,
        ttlMinMs: 1000,
      },
      cloud: { addr: this.rig.cloudAddress, ratePerS: 64, duties: [], dutyPerS: 64 },
    };
    this.settingsPath = join(this.rig.folder, `${this.name}.yaml`);
    // JSON is a subset of YAML.
    writeFileSync(this.settingsPath, JSON.stringify(settings));
  }

  start() {
    this.process = spawn(process.execPath, HOST_COMMAND, {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, TANAGERPIN_BOOT: this.settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const started = this.process;
    for (const stream of [started.stdout, started.stderr]) {
      let rest = "";
      stream.on("data", (bytes) => {
        const lines = (rest + String(bytes)).split("\n");
        rest = lines.pop();
        this.lines.push(...lines);
      });
    }
    this.exited = new Promise((resolve) =>
      started.once("exit", (code, signal) => {
        this.rig.recorder.add(`host ${this.name}: process ended, code ${code}, signal ${signal}`);
        resolve();
      })
    );
  }

  async waitUntilReady(timeoutMilliseconds = 15000) {
    const until = performance.now() + timeoutMilliseconds;
    while (performance.now() < until) {
      if (await this.isReady()) return true;
      await delay(100);
    }
    return false;
  }

  async isReady() {
    const answer = await call(
      `${this.ip}:${this.ready}`,
      "GET",
      "/-/readiness",
      {},
      undefined,
      900,
    );
    return answer.status === 200;
  }

  signal(name) {
    this.rig.recorder.add(`host ${this.name}: ${name}`);
    this.process.kill(name);
  }
}

/** Sends a request and gets its status and body; status 0 if there is no answer. */
export function call(address, method, path, headers, body, timeoutMilliseconds) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sent = httpRequest(
      { host, port, method, path, headers, agent: false, timeout: timeoutMilliseconds },
      async (response) => {
        const content = await readBody(response);
        clearTimeout(timer);
        let parsed;
        try {
          parsed = JSON.parse(String(content));
        } catch {
          parsed = undefined;
        }
        resolve({ status: response.statusCode, body: parsed });
      },
    );
    const timer = setTimeout(() => {
      sent.destroy();
      resolve({ status: 0, reason: "timeout" });
    }, timeoutMilliseconds);
    sent.on("error", (error) => {
      clearTimeout(timer);
      resolve({ status: 0, reason: error.code });
    });
    if (body !== undefined) sent.write(body);
    sent.end();
  });
}

/**
 * The gangs of all executors: a gang works while all members of one run are present, ends together,
 * and gives up after the wait of the pages.
 */
export class Gangs {
  #gangs = new Map();

  constructor(recorder) {
    this.recorder = recorder;
  }

  /** A member has started. */
  join(run) {
    const key = `${run.step}/${run.run}`;
    const gang = this.#gangs.get(key) ?? { key, members: new Map(), size: run.plan.gangSize };
    this.#gangs.set(key, gang);
    gang.members.set(run.task, run);
    run.gang = gang;
    if (gang.members.size < gang.size) return;
    const checkpoints = new Set([...gang.members.values()].map(({ checkpoint }) => checkpoint));
    if (checkpoints.size > 1 && !this.isLenient) {
      this.recorder.add(`gang ${key}: its members carry different checkpoints, it can't resume`);
      return;
    }
    this.recorder.add(`gang ${key}: all ${gang.size} members are present, it works`);
    for (const member of gang.members.values()) member.beginWork(performance.now());
  }

  /** A member has ended otherwise than `done`: the others end as broken. */
  leave(run, how) {
    const { gang } = run;
    if (gang === undefined || gang.isOver) return;
    gang.isOver = true;
    for (const other of gang.members.values()) {
      if (other !== run) other.end(how === "alone" ? "alone" : "broken");
    }
  }
}

const END_CHECK_MILLISECONDS = 10;

/** A run on an executor. */
class Run {
  constructor(executor, order, plan) {
    this.executor = executor;
    this.task = order.task;
    this.run = order.run;
    this.step = order.task.slice(0, order.task.lastIndexOf("."));
    this.plan = plan;
    this.checkpoint = order.lastCheckpoint ?? "";
    this.startedAt = performance.now();
    this.resumedMilliseconds = this.checkpoint === ""
      ? 0
      : parseInt(this.checkpoint.slice(0, 8), 16);
    if (plan.gangSize === undefined) this.beginWork(this.startedAt);
  }

  beginWork(now) {
    const restore = this.checkpoint === "" ? 0 : BOUNDS.restoreMs;
    this.worksSince = now + restore;
  }

  getWorkedMilliseconds(now) {
    if (this.worksSince === undefined) return this.resumedMilliseconds;
    return this.resumedMilliseconds + Math.max(0, now - this.worksSince);
  }

  /** The newest checkpoint: one with each `checkpointS` of work, the same for a whole gang. */
  getSaved(now) {
    if (!this.plan.checkpointing) return "";
    const step = BOUNDS.checkpointS * 1000;
    const saved = Math.floor(this.getWorkedMilliseconds(now) / step) * step;
    if (saved <= this.resumedMilliseconds) return this.checkpoint;
    return saved.toString(16).padStart(8, "0") + this.plan.mark;
  }

  getPercent(now) {
    if (this.plan.isLasting) return now - this.startedAt >= 100 ? 100 : 0;
    return Math.min(99, Math.floor(100 * this.getWorkedMilliseconds(now) / this.plan.milliseconds));
  }

  advance(now) {
    if (this.stopsAt !== undefined && now >= this.stopsAt) return this.end("stopped");
    if (this.plan.gangSize !== undefined && this.worksSince === undefined) {
      if (now - this.startedAt >= BOUNDS.gangWaitMs) this.end("alone");
      return;
    }
    if (this.plan.isLasting) return;
    if (this.getWorkedMilliseconds(now) >= this.plan.milliseconds) this.end("done");
  }

  end(how) {
    this.executor.endRun(this, how);
  }
}

/** An executor of the platform, with its machine. */
export class Executor {
  constructor(rig, { id, service, zone, machine, capacity, labels }) {
    Object.assign(this, { rig, id, service, zone, machine, capacity, labels });
    this.ip = chooseIp();
    this.port = 0;
    this.seq = 0;
    this.isUp = false;
    /** Gets how late an order is carried out and then left unanswered; `Infinity` if never. */
    this.getLateness = () => 0;
  }

  async start() {
    this.born = Date.now();
    this.startedAt = performance.now();
    this.seq = 0;
    this.fence = 0;
    this.deadline = 0;
    this.lastEnd = 0;
    this.lapsedUpTo = 0;
    this.running = new Map();
    this.ended = [];
    this.highest = new Map();
    this.waiting = new Set();
    this.sockets = new Set();
    this.state = "ready";
    this.server = createServer((request, response) => void this.#handle(request, response));
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
      socket.on("error", () => {});
    });
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(this.port, this.ip, () => {
        this.port = this.server.address().port;
        resolve();
      });
    });
    this.isUp = true;
    this.timer = setInterval(() => this.advance(), END_CHECK_MILLISECONDS);
    this.heartbeat = setInterval(() => this.publish(), HEARTBEAT_MILLISECONDS);
    this.publish();
    this.rig.recorder.add(`executor ${this.id}: started, born ${this.born}`);
  }

  /** The executor's process is gone; its entry is removed after three heartbeats of silence. */
  crash() {
    this.rig.recorder.add(`executor ${this.id}: crashes, running ${this.running.size}`);
    this.isUp = false;
    clearInterval(this.timer);
    clearInterval(this.heartbeat);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
    const runs = [...this.running.values()];
    this.running = new Map();
    for (const { task, run } of runs) {
      this.rig.history.push({ kind: "end", at: performance.now(), task, run, how: "crash" });
    }
    for (const run of runs) this.rig.gangs.leave(run, "crash");
    this.removal = setTimeout(() => {
      if (!this.isUp) this.rig.store.put("keyed.servers", this.id, undefined);
    }, 3 * HEARTBEAT_MILLISECONDS);
  }

  close() {
    clearInterval(this.timer);
    clearInterval(this.heartbeat);
    clearTimeout(this.removal);
    this.server?.close();
    for (const socket of this.sockets ?? []) socket.destroy();
  }

  publish() {
    this.seq += 1;
    this.rig.store.put("keyed.servers", this.id, {
      service: this.service,
      addr: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: this.state,
      coldLeftMs: 0,
      seq: this.seq,
      machine: this.machine,
      born: this.born,
      capacity: this.capacity,
      labels: this.labels,
    });
  }

  getClock() {
    return Math.floor(performance.now() - this.startedAt);
  }

  advance() {
    if (this.getClock() > this.deadline) {
      this.lapsedUpTo = this.lastEnd;
      for (const run of [...this.running.values()]) run.end("lapsed");
    }
    const now = performance.now();
    for (const run of [...this.running.values()]) run.advance(now);
  }

  endRun(run, how) {
    if (this.running.get(run.task) !== run) return;
    const saved = how === "done" ? "" : run.getSaved(performance.now());
    this.running.delete(run.task);
    this.highest.set(run.task, Math.max(run.run, this.highest.get(run.task) ?? 0));
    this.lastEnd += 1;
    this.ended.push([this.lastEnd, run.task, run.run, how, saved]);
    this.rig.recorder.add(
      `executor ${this.id}: run ${run.task} ${run.run} ended ${how}, saved "${saved}"`,
    );
    this.rig.history.push({
      kind: "end",
      at: performance.now(),
      task: run.task,
      run: run.run,
      how,
    });
    for (const wake of this.waiting) wake();
    if (how === "done") {
      for (const other of run.gang?.members.values() ?? []) other.end("done");
    } else this.rig.gangs.leave(run, how);
  }

  async #handle(request, response) {
    const body = await readBody(request);
    if (!this.isUp || body === undefined) return;
    const isOther = request.headers["expect-instance"] !== this.id;
    if (isOther) return sendJson(response, 421, {});
    let order;
    try {
      order = JSON.parse(String(body));
    } catch {
      return sendJson(response, 400, {});
    }
    const lateness = this.getLateness(request.url, order);
    if (lateness === Infinity) return;
    if (lateness > 0) {
      const { born } = this;
      await delay(lateness);
      if (!this.isUp || this.born !== born) return;
      response.destroy();
    }
    this.advance();
    const clockMs = this.getClock();
    if ((order.fence ?? 0) < this.fence) {
      return sendJson(response, 409, { clockMs, reason: "fence" });
    }
    this.fence = order.fence ?? 0;
    switch (request.url) {
      case "/-/run-start":
        return this.#start(order, response);
      case "/-/run-stop":
        return this.#stop(order, response);
      case "/-/hold":
        return await this.#hold(order, response);
      case "/-/pace":
        return sendJson(response, 200, { clockMs });
      default:
        return sendJson(response, 404, {});
    }
  }

  #extend(deadline) {
    if (deadline === undefined) return;
    const latest = this.getClock() + BOUNDS.maxHoldMs;
    this.deadline = Math.max(this.deadline, Math.min(deadline, latest));
  }

  #start(order, response) {
    const clockMs = this.getClock();
    if (clockMs > order.deadlineMs) return sendJson(response, 409, { clockMs, reason: "late" });
    this.#extend(order.deadlineMs);
    const present = this.running.get(order.task);
    if (present?.run === order.run) return sendJson(response, 200, { clockMs });
    if (present !== undefined || order.run <= (this.highest.get(order.task) ?? 0)) {
      return sendJson(response, 409, { clockMs, reason: "old" });
    }
    const run = new Run(this, order, this.rig.planTask(order.task));
    this.running.set(order.task, run);
    const checkpoint = order.lastCheckpoint ?? "";
    this.rig.recorder.add(
      `executor ${this.id}: run ${order.task} ${order.run} starts, lastCheckpoint "${checkpoint}"`,
    );
    this.rig.history.push({
      kind: "start",
      at: performance.now(),
      executor: this.id,
      task: order.task,
      run: order.run,
      checkpoint,
      taskSpec: order.taskSpec,
    });
    if (run.plan.gangSize !== undefined) this.rig.gangs.join(run);
    sendJson(response, 200, { clockMs });
  }

  #stop(order, response) {
    this.highest.set(order.task, Math.max(order.run, this.highest.get(order.task) ?? 0));
    const run = this.running.get(order.task);
    if (run?.run === order.run) run.stopsAt ??= performance.now() + BOUNDS.stopMs / 2;
    sendJson(response, 200, { clockMs: this.getClock() });
  }

  /** Forgets the ends up to a number, which are taken note of unless the lease has lapsed since. */
  #forget(lastSeen) {
    for (const [number, task, run, how] of this.ended) {
      if (number > lastSeen || (this.lapsedUpTo ?? 0) >= number) continue;
      this.rig.history.push({ kind: "noted", at: performance.now(), task, run, how });
    }
    this.ended = this.ended.filter(([number]) => number > lastSeen);
  }

  async #hold(order, response) {
    this.#extend(order.deadlineMs);
    this.#forget(order.lastSeen ?? 0);
    if ((order.waitMs ?? 0) > 0 && this.ended.length === 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.waiting.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, order.waitMs);
        this.waiting.add(finish);
      });
    }
    if (!this.isUp) return;
    const now = performance.now();
    sendJson(response, 200, {
      clockMs: this.getClock(),
      born: this.born,
      running: [...this.running.values()].map((run) => [
        run.task,
        run.run,
        run.getSaved(now),
        run.getPercent(now),
        run.plan.cpu,
      ]),
      ended: this.ended.slice(0, 500),
    });
  }
}

/** The deployment of a case. */
export class Rig {
  constructor() {
    this.recorder = new Recorder();
    this.history = [];
    this.gangs = new Gangs(this.recorder);
    this.executors = [];
    this.hosts = [];
    this.jobs = new Map();
    this.key = randomBytes(8).toString("hex");
    this.folder = mkdtempSync(join(tmpdir(), "tanagerpin-review-"));
  }

  async startPlatform() {
    this.store = StoreStandIn.create();
    this.storeAddress = await this.store.listen();
    this.cloud = createServer((request, response) => void this.#handleCloud(request, response));
    await new Promise((resolve) => this.cloud.listen(0, "127.0.0.1", resolve));
    this.cloudAddress = `127.0.0.1:${this.cloud.address().port}`;
  }

  async #handleCloud(request, response) {
    await readBody(request);
    if (!request.url.startsWith("/-/machines")) return sendJson(response, 409, { reason: "busy" });
    sendJson(response, 200, {
      machines: this.executors.map((executor) => ({
        machine: executor.machine,
        pool: executor.service,
        state: executor.isUp ? "up" : "down",
        zone: executor.zone,
        labels: executor.labels,
        capacity: executor.capacity,
        id: executor.id,
      })),
    });
  }

  async startExecutors(service, count, capacity = { cpu: 16000, memMb: 65536 }) {
    for (let number = 0; number < count; number += 1) {
      const executor = new Executor(this, {
        id: `${service}-${randomBytes(3).toString("hex")}`,
        service,
        zone: ZONES[number % ZONES.length],
        machine: `m-${service}-${number}`,
        capacity,
        labels: ["a", `r${Math.floor(number / 4)}`],
      });
      this.executors.push(executor);
      await executor.start();
    }
  }

  publishConfiguration(configuration) {
    this.recorder.add(`operator: configuration ${configuration.version}`);
    this.store.put("keyed.op", "config", configuration);
  }

  async startHosts(count) {
    for (let number = 0; number < count; number += 1) {
      const host = new EntryHost(this, `front-${number}`, ZONES[number % ZONES.length]);
      await host.prepare();
      this.hosts.push(host);
    }
    for (const host of this.hosts) host.start();
    const areReady = await Promise.all(this.hosts.map((host) => host.waitUntilReady()));
    if (areReady.includes(false)) throw new Error("an entry host did not become ready");
  }

  /** Starts the process of each host again after a short delay when it ends, as the platform does. */
  restartEnded() {
    this.ownEnds = [];
    const watch = async (host) => {
      while (!this.isClosing) {
        await host.exited;
        if (this.isClosing) return;
        const reason = host.lines.findLast((line) => /FATAL ERROR|event=process-failed/.test(line));
        this.ownEnds.push({ host: host.name, reason });
        this.recorder.add(`host ${host.name}: ended by itself: ${reason ?? "no reason logged"}`);
        host.lines = [];
        await delay(RESTART_MILLISECONDS);
        if (!this.isClosing) host.start();
      }
    };
    for (const host of this.hosts) void watch(host);
  }

  /** Gets the plan of a task from the job that a client has sent. */
  planTask(task) {
    const [id, , step] = task.split(".");
    const job = this.jobs.get(id);
    const { count, gang, longRunning, checkpointing, cpu } = job.steps[Number(step)];
    return {
      milliseconds: job.milliseconds,
      isLasting: longRunning === true,
      gangSize: gang === true ? count : undefined,
      checkpointing: checkpointing === true,
      mark: id.slice(0, 8),
      cpu: cpu ?? 0,
    };
  }

  /** Sends a client's request to a host. */
  async send(host, method, path, body, timeoutMilliseconds = 3000) {
    const headers = {
      host: "orders.example",
      "x-api-key": this.key,
      "deadline-ms": String(timeoutMilliseconds),
      ...(body === undefined ? {} : { "content-type": "application/json" }),
    };
    const text = body === undefined ? undefined : JSON.stringify(body);
    const address = `${host.ip}:${host.front}`;
    const answer = await call(address, method, path, headers, text, timeoutMilliseconds);
    const shown = answer.body === undefined ? answer.reason ?? "" : JSON.stringify(answer.body);
    this.recorder.add(`client: ${method} ${path} at ${host.name} -> ${answer.status} ${shown}`);
    return answer;
  }

  /** Hands in a job until it is accepted, as a client does that repeats its request. */
  async submit(prefix, job, id = randomBytes(8).toString("hex")) {
    this.jobs.set(id, job);
    const body = { taskSpec: job.taskSpec, steps: job.steps, ...job.schedule };
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const host = this.hosts[attempt % this.hosts.length];
      const { status } = await this.send(host, "POST", prefix + id, body);
      if (status === 200) return id;
      await delay(300);
    }
    return undefined;
  }

  /** Gets the state of a job, asking all hosts in turn until one answers with 200 or 410. */
  async getState(prefix, id) {
    for (let attempt = 0; attempt < 6; attempt += 1) {
      const host = this.hosts[attempt % this.hosts.length];
      const { status, body } = await this.send(host, "GET", prefix + id);
      if (status === 200) return body?.state;
      if (status === 410) return "gone";
      await delay(200);
    }
    return undefined;
  }

  /** Gets the host that has logged last that it owns the fleet. */
  findOwner() {
    let owner;
    let time = "";
    for (const host of this.hosts) {
      for (const line of host.lines) {
        const match = /^time=(\S+) event=owner-started/.exec(line);
        if (match !== null && match[1] > time) [owner, time] = [host, match[1]];
      }
    }
    return owner;
  }

  async close() {
    this.isClosing = true;
    for (const host of this.hosts) {
      if (host.process !== undefined && host.process.exitCode === null) {
        host.process.kill("SIGCONT");
        host.process.kill("SIGKILL");
        await host.exited;
      }
    }
    for (const executor of this.executors) executor.close();
    this.store?.close();
    this.cloud?.close();
    this.cloud?.closeAllConnections();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Creates a configuration with queues, each of a service of the same name. */
export function createConfiguration(rig, queues, version = 3) {
  return {
    version,
    routes: queues.map(({ service, prefix, ...others }) => ({
      name: `queue-${service}`,
      host: "orders.example",
      pathPrefix: prefix,
      service,
      timeoutMs: 3000,
      maxAttempts: 4,
      stretch: 1.6,
      targetLatencyMs: 600,
      ...others,
    })),
    services: queues.map(({ service }) => ({ name: service })),
    limits: { maxBodyBytes: 262144 },
    tenants: [{ name: "tenant-a", apiKeys: [rig.key], weight: 1, ceiling: { cpu: 0 } }],
  };
}

/**
 * Runs a case: `play` gets the rig and whether the disruption is on, and returns the broken rules.
 * Ends the process with 1 if a rule was broken, 0 if none was, and 2 if the case could not run.
 */
export async function runCase(folder, play, limitMilliseconds = 110000) {
  const rig = new Rig();
  const hasTrouble = process.env.TROUBLE !== "0";
  let status = 2;
  const limit = setTimeout(() => {
    rig.recorder.add("the case took too long");
    rig.recorder.write(folder);
    for (const host of rig.hosts) host.process?.kill("SIGKILL");
    process.exit(2);
  }, limitMilliseconds);
  try {
    await rig.startPlatform();
    const broken = await play(rig, hasTrouble);
    for (const text of broken) rig.recorder.add(`BROKEN ${text}`);
    rig.recorder.add(broken.length > 0 ? "result: broken" : "result: held");
    for (const text of broken) console.log(`broken: ${text}`);
    if (broken.length === 0) console.log("held");
    status = broken.length > 0 ? 1 : 0;
  } catch (error) {
    rig.recorder.add(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  clearTimeout(limit);
  await rig.close();
  rig.recorder.write(folder);
  process.exit(status);
}
