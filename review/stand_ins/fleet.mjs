// Starts a small fleet for a case: the platform's stand-in, executors and entry hosts, each as a
// process of its own on loopback, and records what is sent, answered and run.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { Agent, request as httpRequest } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as delay } from "node:timers/promises";

const STAND_INS = dirname(fileURLToPath(import.meta.url));
const REPOSITORY = join(STAND_INS, "..", "..");
/** The command of the deploy file, `deploy/system.toml`. */
const HOST_COMMAND = ["node", "--max-old-space-size=200", "target/platform_main.js", "7001"];

export const HOST_NAME = "pule25.example";
export const PREFIX = "/puxa400/";
export const KEY = "sjnbanfqasnmgkcuyj8p";
export const SERVICE = "huvo11a";

/** The case couldn't run. */
export class CannotRun extends Error {}

const BOUNDS = {
  contactMs: 3_000,
  ackMs: 4_000,
  drainMs: 2_000,
  graceS: 6,
  configApplyMs: 2_000,
  strictRevoke: true,
  revokeMs: 5_000,
  evacuateMs: 5_000,
  recoveryS: 12,
  maxHoldMs: 10_000,
  stopMs: 400,
  gangWaitMs: 3_000,
  cancel_ms: 3_000,
  visible_ms: 3_000,
  finish_s: 14,
  status_s: 120,
  farX: 2,
  noticeMs: 4_500,
  moveS: 1.5,
  upkeepS: 2,
  enforceFencing: false,
  leaseMs: 3_000,
};

/** Gets a free port of an address. */
export function getFreePort(address = "127.0.0.1", port = 0) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(port, address, () => {
      const found = server.address().port;
      server.close(() => resolve(found));
    });
  });
}

export class Fleet {
  events = [];
  children = new Set();
  hosts = [];
  executors = new Map();

  constructor(folder) {
    this.recordPath = join(folder, "record.txt");
    this.temporary = mkdtempSync(join(tmpdir(), "review-"));
    this.startedAt = Date.now();
    this.lines = [];
    writeFileSync(this.recordPath, "");
  }

  /** Writes a line of the record. */
  record(what, at = Date.now()) {
    const line = `${((at - this.startedAt) / 1_000).toFixed(3).padStart(8)} ${what}`;
    this.lines.push(line);
  }

  /** Appends the collected lines to the record, in the order of their times. */
  flush() {
    this.lines.sort((first, second) => parseFloat(first) - parseFloat(second));
    appendFileSync(this.recordPath, this.lines.map((line) => `${line}\n`).join(""));
    this.lines = [];
  }

  #spawn(command, args, options, onLine) {
    const child = spawn(command, args, {
      stdio: ["ignore", "pipe", options.stderr ?? "inherit", "ipc"],
      ...options,
    });
    this.children.add(child);
    child.once("exit", () => this.children.delete(child));
    let rest = "";
    child.stdout.on("data", (bytes) => {
      const lines = (rest + bytes).split("\n");
      rest = lines.pop();
      for (const line of lines) onLine(line);
    });
    return child;
  }

  /** Starts the store and the provider. */
  async startPlatform() {
    const [line] = await new Promise((resolve) => {
      this.platform = this.#spawn(
        process.execPath,
        [join(STAND_INS, "platform.mjs")],
        {},
        (text) => resolve([text]),
      );
    });
    Object.assign(this, JSON.parse(line));
  }

  /** Writes a record as the operator does. */
  async put(topic, key, value) {
    const body = JSON.stringify({ topic, key, value });
    await sendRequest(this.store, "POST", "/control/put", {}, body, 2_000);
  }

  async putConfiguration(options = {}) {
    const tenants = options.tenants ?? [{
      name: "cugo130",
      apiKeys: [KEY],
      priority: 1,
      weight: 27,
      ceiling: { cpu: 0, memMb: 0, gpu: 0 },
    }];
    await this.put("keyed.op", "config", {
      version: options.version ?? 7,
      routes: [{
        name: "r-tyiikdr",
        host: HOST_NAME,
        pathPrefix: PREFIX,
        kind: "unsafe",
        timeoutMs: 3_000,
        targetLatencyMs: 600,
        priority: 0,
        service: SERVICE,
        maxAttempts: 4,
        stretch: 1.6,
        public: false,
      }],
      services: [{
        name: SERVICE,
        healthPath: "/health",
        maxConns: 64,
        protocol: "h1",
        enforcesCapacity: false,
        spare: false,
      }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, idleTimeoutMs: 15_000 },
      tenants,
    });
  }

  /** Starts an incarnation of an executor; `addr` is its published address, if not its own. */
  async startExecutor(number, options = {}) {
    const id = `i-${number}`;
    const known = this.executors.get(id);
    const port = known?.port ?? await getFreePort();
    const settings = {
      id,
      service: SERVICE,
      zone: ["gh-south-a", "gh-south-b", "gh-south-c"][number % 3],
      machine: `m-${number}`,
      rack: `r1-${number % 2}`,
      port,
      store: this.store,
      stopMs: 200,
      heartbeatMs: 1_500,
      capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 },
      ...known?.options,
      ...options,
    };
    let child;
    await new Promise((resolve) => {
      child = this.#spawn(
        process.execPath,
        [join(STAND_INS, "executor.mjs"), JSON.stringify(settings)],
        {},
        (line) => {
          const event = JSON.parse(line);
          this.events.push(event);
          this.record(
            `executor ${event.executor} (born ${event.born}): ${event.event}` +
              (event.task === undefined ? "" : ` ${event.task} run ${event.run}`) +
              (event.how === undefined ? "" : ` ${event.how}`) +
              (event.checkpoint === undefined ? "" : ` checkpoint "${event.checkpoint}"`),
            event.at,
          );
          if (event.event === "up") resolve();
        },
      );
    });
    this.executors.set(id, { id, port, child, options });
  }

  /** Kills an executor's process. */
  async killExecutor(number) {
    const { child, id } = this.executors.get(`i-${number}`);
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await exited;
    const at = Date.now();
    this.events.push({ at, event: "killed", executor: id });
    this.record(`executor ${id}: killed`, at);
  }

  /** Starts an entry host on a loopback address of its own. */
  async startHost(number) {
    const known = this.hosts[number];
    const address = known?.address ?? await this.#findAddress();
    const listen = known?.listen ?? {
      front: `${address}:${await getFreePort(address)}`,
      ready: `${address}:${await getFreePort(address)}`,
      control: `${address}:${await getFreePort(address)}`,
    };
    const path = join(this.temporary, `host-${number}.yaml`);
    const zone = ["gh-south-a", "gh-south-b", "gh-south-c"][number % 3];
    // JSON is a subset of YAML.
    writeFileSync(
      path,
      JSON.stringify({
        node: `front-${zone}-${number}`,
        role: "entry",
        machineClass: "front",
        serves: ["front"],
        ip: address,
        zone,
        region: "gh-south",
        listen,
        portRange: [7_000, 7_015],
        seeds: [],
        bootstrap: true,
        limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4_100, linkMbps: 1_000 },
        dataDir: null,
        discovery: "platform",
        entry: "vip",
        heartbeatMs: 1_500,
        bounds: BOUNDS,
        orders: "call",
        platform: { addr: this.store, form: "log", recordBytes: 262_144, callBytes: 2_097_152 },
        cloud: { addr: this.provider, ratePerS: 64, dutyPerS: 64 },
      }),
    );
    const { PATH, HOME, LANG } = process.env;
    const [program, ...args] = HOST_COMMAND;
    const child = this.#spawn(
      program,
      args,
      { cwd: REPOSITORY, env: { PATH, HOME, LANG, TANAGERPIN_BOOT: path }, stderr: "ignore" },
      (line) => this.#handleHostLine(number, line),
    );
    const host = { number, address, listen, child, exits: known?.exits ?? 0 };
    this.hosts[number] = host;
    child.once("exit", (code, signal) => {
      if (this.isStopping || host.isKilled) return;
      host.exits += 1;
      host.hasEnded = true;
      this.record(`host ${number}: process ended by itself (${signal ?? `code ${code}`})`);
      this.onHostEnded?.(host);
    });
  }

  #handleHostLine(number, line) {
    const event = /event=(\S+)/.exec(line)?.[1];
    if (event === undefined) return;
    this.onHostEvent?.(number, event, line);
    if (
      /^(claim-made|take-over-done|journal-lost|owner-|run-lost|orphan-run|executor-gone|executor-lost)/
        .test(event)
    ) {
      this.record(`host ${number} logs: ${line.replace(/^time=\S+ /, "").slice(0, 160)}`);
    }
  }

  /** Waits until all hosts are ready for callers. */
  async waitUntilReady() {
    const until = Date.now() + 20_000;
    for (const { listen } of this.hosts) {
      for (;;) {
        if (Date.now() > until) throw new CannotRun("a host is not ready");
        const answer = await sendRequest(listen.ready, "GET", "/-/readiness", {}, "", 500);
        if (answer.status === 200) break;
        await delay(50);
      }
    }
  }

  async #findAddress() {
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const numbers = [1, 2, 3].map(() => 1 + Math.floor(Math.random() * 250));
      const address = `127.${numbers.join(".")}`;
      try {
        for (const port of [7_000, 7_001]) await getFreePort(address, port);
        return address;
      } catch {
        continue;
      }
    }
    throw new CannotRun("no free loopback address");
  }

  /** Sends a client's call to a host's front address, and records it with its answer. */
  async call(number, method, path, options = {}) {
    const { body, timeoutMs = 3_000, key = KEY, isQuiet = false } = options;
    const text = body === undefined ? "" : JSON.stringify(body);
    const sentAt = Date.now();
    const answer = await sendRequest(
      this.hosts[number].listen.front,
      method,
      path,
      {
        host: HOST_NAME,
        "x-api-key": key,
        "deadline-ms": String(timeoutMs),
        ...(text === "" ? {} : { "content-type": "application/json" }),
      },
      text,
      timeoutMs,
    );
    if (!isQuiet) {
      const sent = `${method} ${path}${text === "" ? "" : ` ${text.slice(0, 120)}`}`;
      this.record(`client to host ${number}: ${sent}`, sentAt);
      this.record(
        `answer of host ${number} to ${method} ${path}: ${answer.status} ${
          answer.body.slice(0, 80)
        }`,
      );
    }
    return answer;
  }

  /** Ends all processes that were started, and writes the record. */
  async stop() {
    this.isStopping = true;
    const exits = [...this.children].map((child) =>
      new Promise((resolve) => {
        child.once("exit", resolve);
        child.kill("SIGKILL");
      })
    );
    await Promise.all(exits);
    rmSync(this.temporary, { recursive: true, force: true });
    this.flush();
  }
}

const agent = new Agent({ keepAlive: false });

/** Sends a request; the status is 0 if there is no answer in time. */
export function sendRequest(address, method, path, headers, body, timeoutMs) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const call = httpRequest({ host, port, method, path, headers, agent });
    const timer = setTimeout(() => {
      call.destroy();
      resolve({ status: 0, body: "no answer in time" });
    }, timeoutMs);
    call.on("error", (error) => {
      clearTimeout(timer);
      resolve({ status: 0, body: String(error.code ?? error.message) });
    });
    call.on("response", async (response) => {
      let text = "";
      try {
        for await (const chunk of response) text += chunk;
      } catch {
        text = "broken off";
      }
      clearTimeout(timer);
      resolve({ status: response.statusCode, body: text });
    });
    call.end(body);
  });
}

let lastJob = 0;

/** Creates a job's id. */
export function createJobId() {
  lastJob += 1;
  return (BigInt(Date.now()) * 4_096n + BigInt(lastJob)).toString(16).padStart(16, "0").slice(-16);
}

/**
 * Finds breaks of TWICE: two runs of a task at the same time, on executors that are up.
 */
export function findDoubleRuns(events) {
  const open = new Map();
  const breaks = [];
  for (const event of [...events].sort((first, second) => first.at - second.at)) {
    if (event.event === "killed") {
      for (const runs of open.values()) {
        for (const run of [...runs]) if (run.executor === event.executor) runs.delete(run);
      }
    }
    if (event.event === "start") {
      const runs = open.get(event.task) ?? new Set();
      open.set(event.task, runs);
      for (const other of runs) breaks.push({ task: event.task, other, event });
      runs.add(event);
    }
    if (event.event === "end") {
      const runs = open.get(event.task) ?? new Set();
      for (const run of [...runs]) {
        if (run.run === event.run && run.executor === event.executor) runs.delete(run);
      }
    }
  }
  return breaks;
}

/**
 * Finds breaks of TWICE: a start of a task after a run of it has ended `done`, if that end is taken
 * note of, and the executor's lease didn't lapse between the two.
 */
export function findRepeatedTasks(events) {
  const getKey = ({ executor, task, run }) => `${executor}/${task}/${run}`;
  const notedAt = new Map(
    events.filter(({ event }) => event === "noted").map((event) => [getKey(event), event.at]),
  );
  const lapses = events.filter(({ how }) => how === "lapsed");
  const counts = (end) => {
    const noted = notedAt.get(getKey(end));
    return end.how === "done" && noted !== undefined &&
      !lapses.some(({ executor, at }) => executor === end.executor && at >= end.at && at <= noted);
  };
  const done = new Map();
  const breaks = [];
  for (const event of [...events].sort((first, second) => first.at - second.at)) {
    if (event.event === "start" && done.has(event.task)) {
      breaks.push({ task: event.task, done: done.get(event.task), event });
    }
    if (event.event === "end" && counts(event)) done.set(event.task, event);
  }
  return breaks;
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folder, play) {
  const fleet = new Fleet(folder);
  const hasTrouble = process.env.TROUBLE !== "0";
  fleet.record(`case starts, ${hasTrouble ? "with" : "without"} the disruption`);
  let code = 2;
  const timer = setTimeout(async () => {
    fleet.record("the case took too long");
    await fleet.stop();
    process.exit(2);
  }, 115_000);
  try {
    const broken = await play(fleet, hasTrouble);
    fleet.record(
      broken.length === 0 ? "the rule held" : `the rule was broken, ${broken.length} times:`,
    );
    for (const line of broken.slice(0, 40)) fleet.record(line);
    console.log(broken.length === 0 ? "held" : `broken, ${broken.length} times: ${broken[0]}`);
    code = broken.length === 0 ? 0 : 1;
  } catch (error) {
    fleet.record(`the case couldn't run: ${error.stack}`);
    console.log(`couldn't run: ${error.message}`);
  }
  clearTimeout(timer);
  await fleet.stop();
  process.exit(code);
}
