/**
 * A small deployment on loopback: entry hosts as processes of their own, started with the command of
 * the deploy file, the project's stand-in of the store, and workers behind proxies.
 */

import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { StoreStandIn } from "../../dist/platform/stand_in/store_stand_in.js";
import { CutProxy } from "./cut_proxy.mjs";
import { Worker } from "./worker.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const READY_TIMEOUT_MILLISECONDS = 30_000;
/** How long after a crash a worker is back, in milliseconds. */
const WORKER_RESTART_MILLISECONDS = 150;
/** The interval of the workers' heartbeats in the sites, in milliseconds. */
const HEARTBEAT_MILLISECONDS = 1_500;
/** The latency between zones in the site mbl-richards, one way, in milliseconds; all hosts are in zl-a. */
const ZONE_LATENCY_MILLISECONDS = 1.4;
/** How long after its exit a process is started again, in milliseconds. */
const RESTART_DELAY_MILLISECONDS = 300;

/** The bounds of sites/mbl-richards. */
export const BOUNDS = {
  contactMs: 3_000,
  ackMs: 4_000,
  drainMs: 2_000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  strictRevoke: true,
  revokeMs: 5_000,
  quotaOverage: 0.1,
  recoveryS: 12,
  maxHoldMs: 10_000,
  stopMs: 900,
  gangWaitMs: 3_000,
  cancel_ms: 3_000,
  visible_ms: 3_000,
  status_s: 120,
  farX: 1.5,
  noticeMs: 4_500,
  moveS: 1.5,
  upkeepS: 2,
  enforceFencing: false,
  leaseMs: 3_000,
};

export const delay = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Thrown where a case can't run; it says nothing about the rule. */
export class CannotRunError extends Error {}

async function getFreePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** An entry host: one process. */
export class EntryHost {
  lines = [];
  hasExited = false;
  #world;
  #storeProxy;
  #process;
  #isEnded = false;

  constructor(world, { name, ip, ports, storeProxy, storeAddress, bounds }) {
    this.#world = world;
    this.#storeProxy = storeProxy;
    this.name = name;
    this.callers = { host: ip, port: ports[0] };
    this.ready = { host: ip, port: ports[1] };
    this.settingsPath = join(world.folder, `${name}.yaml`);
    const settings = {
      node: name,
      role: "entry",
      machineClass: "front",
      serves: ["front"],
      ip,
      zone: "zl-a",
      region: "zululand",
      zones: { "zl-a": "zululand", "zl-b": "zululand", "zl-c": "zululand", "zl-d": "zululand" },
      listen: { front: `${ip}:${ports[0]}`, ready: `${ip}:${ports[1]}` },
      portRange: [7010, 7015],
      seeds: [],
      bootstrap: true,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
      bounds,
      platform: { addr: storeAddress, recordBytes: 262_144, callBytes: 2_097_152 },
    };
    // JSON is a subset of YAML.
    writeFileSync(this.settingsPath, JSON.stringify(settings));
  }

  /** Starts the process with the command of the deploy file. */
  start() {
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [program, ...options] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const child = spawn(program, options, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: "C",
        TANAGERPIN_BOOT: this.settingsPath,
      },
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#process = child;
    this.hasExited = false;
    let rest = "";
    child.stdout.on("data", (bytes) => {
      const lines = (rest + bytes).split("\n");
      rest = lines.pop();
      this.lines.push(...lines);
    });
    child.on("exit", (code, signal) => {
      if (child !== this.#process) return;
      this.hasExited = true;
      this.#world.note(`${this.name} has exited`, { code, signal });
    });
  }

  async waitUntilReady() {
    const until = performance.now() + READY_TIMEOUT_MILLISECONDS;
    for (;;) {
      if (this.hasExited) throw new CannotRunError(`${this.name} has ended`);
      if (performance.now() > until) throw new CannotRunError(`${this.name} is not ready`);
      const answer = await send(this.ready, { path: "/-/readiness" }).catch(() => undefined);
      if (answer?.status === 200) return;
      await delay(50);
    }
  }

  signal(name) {
    this.#world.note(`${name} to ${this.name}`);
    this.#process.kill(name);
  }

  /** Has the store reset each connection of this host from now on, while it serves the others. */
  turnAwayFromStore() {
    this.#storeProxy.reset();
    this.#world.note(`the store turns ${this.name} away`);
  }

  serveByStore() {
    this.#storeProxy.heal();
    this.#world.note(`the store serves ${this.name} again`);
  }

  /** Stops the process as the platform does for planned work, and starts it again once it has exited. */
  async restart() {
    this.signal("SIGTERM");
    const killAt = performance.now() + BOUNDS.graceS * 1_000;
    while (!this.hasExited) {
      if (performance.now() > killAt) this.signal("SIGKILL");
      await delay(50);
    }
    await delay(RESTART_DELAY_MILLISECONDS);
    if (this.#isEnded) return;
    this.start();
    this.#world.note(`${this.name} is started again`);
  }

  /** Ends the process if it runs. */
  async end() {
    this.#isEnded = true;
    if (this.#process === undefined || this.hasExited) return;
    const exited = new Promise((resolve) => this.#process.once("exit", resolve));
    this.#process.kill("SIGKILL");
    await exited;
  }

  /** Gets the logged events of a name. */
  getEvents(name) {
    return this.lines.filter((line) => line.includes(` event=${name} `));
  }

  /** Sends a call of a client. */
  call(method, path, { key, body, deadlineMilliseconds = 3_000, host = "jobs.example" } = {}) {
    const headers = { host, "deadline-ms": String(deadlineMilliseconds) };
    if (key !== undefined) headers["x-api-key"] = key;
    if (body !== undefined) headers["content-type"] = "application/json";
    return send(this.callers, { method, path, headers, body }, deadlineMilliseconds);
  }
}

/** Sends a request over a connection of its own; rejects if it is not answered in time. */
export function send(address, { method = "GET", path, headers = {}, body, text }, timeout = 3_000) {
  return new Promise((resolve, reject) => {
    const outgoing = request({ ...address, method, path, headers, agent: false }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", reject);
      response.on("end", () => {
        clearTimeout(timer);
        resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() });
      });
    });
    const timer = setTimeout(() => outgoing.destroy(new Error("not answered in time")), timeout);
    outgoing.on("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    outgoing.end(text ?? (body === undefined ? undefined : JSON.stringify(body)));
  });
}

/** The deployment, and the record of what was sent, answered and run. */
export class World {
  hosts = [];
  workers = new Map();
  #proxies = new Map();
  #timers = [];
  #record = [];
  #startedAt = performance.now();
  #store = StoreStandIn.create();

  static async create() {
    const world = new World();
    world.folder = mkdtempSync(join(tmpdir(), "tanagerpin-case-"));
    world.storeAddress = await world.#store.listen();
    return world;
  }

  get store() {
    return this.#store;
  }

  /** Adds a line to the record. */
  note(text, fields = {}) {
    const at = ((performance.now() - this.#startedAt) / 1_000).toFixed(3).padStart(8);
    this.#record.push(`${at} ${text} ${JSON.stringify(fields)}`);
  }

  /** Publishes a configuration, as the operator does. */
  publish(configuration) {
    this.#store.put("keyed.op", "config", configuration);
    this.note("the operator publishes a configuration", configuration);
  }

  /** Starts entry hosts, each on a loopback address of its own, and waits until they are ready. */
  async startHosts(count, bounds = BOUNDS) {
    const net = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
    for (let number = 1; number <= count; number += 1) {
      const ip = `${net}.${number}`;
      const ports = [await getFreePort(ip), await getFreePort(ip)];
      const storeProxy = new CutProxy(Number(this.storeAddress.split(":")[1]));
      const storeAddress = await storeProxy.listen();
      const name = `front-zl-a-${number}`;
      this.#proxies.set(name, storeProxy);
      const host = new EntryHost(this, { name, ip, ports, storeProxy, storeAddress, bounds });
      this.hosts.push(host);
      host.start();
    }
    for (const host of this.hosts) await host.waitUntilReady();
    this.note("the entry hosts are ready");
  }

  /** Starts a worker behind a proxy, and publishes its entry. */
  async startWorker(options) {
    const worker = new Worker({ stopMilliseconds: 100, zone: "zl-a", labels: ["a"], ...options });
    const isFar = worker.zone !== "zl-a";
    const proxy = new CutProxy(await worker.listen(), isFar ? ZONE_LATENCY_MILLISECONDS : 0);
    const entry = worker.createEntry(await proxy.listen());
    this.workers.set(worker.id, worker);
    this.#proxies.set(worker.id, proxy);
    this.#store.put("keyed.servers", worker.id, entry);
    return worker;
  }

  /**
   * Has a worker crash and start again under its id, mute for a while if it is told so. It writes its
   * entry with its first heartbeat.
   */
  async restartWorker(id, muteMilliseconds) {
    const previous = this.workers.get(id);
    previous.crash();
    this.note(`${id} has crashed`);
    await delay(WORKER_RESTART_MILLISECONDS);
    const worker = previous.createNext();
    worker.isMute = muteMilliseconds > 0;
    const proxy = this.#proxies.get(id);
    proxy.setTarget(await worker.listen());
    this.workers.set(id, worker);
    this.note(`${id} is back under its id`, { isMute: worker.isMute });
    const answer = () => {
      worker.isMute = false;
      this.note(`${id} answers again`);
    };
    const beat = () => {
      this.#store.put("keyed.servers", id, worker.createEntry(proxy.address));
      this.note(`${id} writes its entry`);
    };
    this.#timers.push(setTimeout(beat, HEARTBEAT_MILLISECONDS));
    if (worker.isMute) this.#timers.push(setTimeout(answer, muteMilliseconds));
  }

  cut(id) {
    this.#proxies.get(id).cut();
    this.note(`${id} is cut off and runs on`);
  }

  heal(id) {
    this.#proxies.get(id).heal();
    this.note(`the cut of ${id} has healed`);
  }

  /** Sends a call and notes it with its answer; undefined if it was not answered. */
  async call(host, method, path, options) {
    this.note(`${method} ${path} to ${host.name}`, { body: options?.body, key: options?.key });
    const answer = await host.call(method, path, options).catch((error) => {
      this.note(`${method} ${path}: no answer`, { reason: error.message });
    });
    if (answer !== undefined) this.note(`${method} ${path}: ${answer.status}`, answer);
    return answer;
  }

  /** Repeats a call as clients do until it is answered with success. */
  async callUntilDone(method, path, options) {
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const host = this.hosts.filter(({ hasExited }) => !hasExited)[attempt % this.hosts.length] ??
        this.hosts[0];
      const answer = await this.call(host, method, path, options);
      if (answer?.status === 200) return answer;
      await delay(200);
    }
    throw new CannotRunError(`${method} ${path} has no success`);
  }

  /** Finds the host that owns the fleet: the last that logged that it had taken over. */
  async findOwner() {
    const until = performance.now() + READY_TIMEOUT_MILLISECONDS;
    while (performance.now() < until) {
      const owner = this.hosts.find((host) =>
        !host.hasExited && host.getEvents("take-over-done").length > 0 &&
        host.getEvents("owner-ended").length < host.getEvents("owner-started").length
      );
      if (owner !== undefined) return owner;
      await delay(20);
    }
    throw new CannotRunError("no host owns the fleet");
  }

  async close() {
    for (const timer of this.#timers) clearTimeout(timer);
    for (const host of this.hosts) await host.end();
    for (const worker of this.workers.values()) worker.close();
    for (const proxy of this.#proxies.values()) proxy.close();
    this.#store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  writeRecord(path) {
    writeFileSync(path, this.#record.join("\n") + "\n");
  }
}

/** Waits until a condition holds; a case that never gets there can't run. */
export async function waitFor(what, condition, timeoutMilliseconds = 15_000) {
  const until = performance.now() + timeoutMilliseconds;
  while (!condition()) {
    if (performance.now() > until) throw new CannotRunError(`not reached: ${what}`);
    await delay(5);
  }
}

/**
 * Plays a case, writes its record, and ends the process: 1 if `play` returns a broken rule, 0 if it
 * returns none, 2 if the case can't run.
 */
export async function runCase(recordPath, play) {
  const world = await World.create();
  process.once("SIGTERM", () => {
    world.note("the case was stopped");
    void world.close().finally(() => {
      world.writeRecord(recordPath);
      process.exit(2);
    });
  });
  let code = 2;
  try {
    const broken = await play(world, process.env.TROUBLE !== "0");
    for (const text of broken) world.note(`BROKEN: ${text}`);
    world.note(broken.length > 0 ? "the rule was broken" : "the rule held");
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    world.note("the case could not run", { reason: error.stack });
  }
  await world.close();
  world.writeRecord(recordPath);
  process.exit(code);
}
