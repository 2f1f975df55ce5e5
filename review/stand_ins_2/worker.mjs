/**
 * A worker as PROTOCOL.md, "Running tasks", describes it: run-start, run-stop and hold, with fences,
 * leases on its own clock, a list of ends until they are acknowledged, and orders by incarnation.
 */

import { createServer } from "node:http";

const MAXIMUM_HOLD_MILLISECONDS = 10_000;
const MAXIMUM_WAIT_MILLISECONDS = 2_000;
const MAXIMUM_LISTED_ENDS = 500;
const CHECK_INTERVAL_MILLISECONDS = 5;

/** One incarnation of a worker. */
export class Worker {
  /** The runs by task: { task, run, startedAt, endsAt, stopsAt }. */
  running = new Map();
  /** Whether it carries out what it is told, and answers nothing. */
  isMute = false;
  #options;
  #startedAt = performance.now();
  #born = Date.now();
  #fence = 0;
  #deadline = 0;
  #ends = [];
  #lastEnd = 0;
  #highestRuns = new Map();
  #waiting = new Set();
  #server;
  #timer;

  /**
   * Creates a worker. `getDuration(task)` plans a run in milliseconds; `onStart` and `onEnd` get
   * each run with the worker.
   */
  constructor(options) {
    this.#options = options;
    this.#server = createServer((request, response) => void this.#handle(request, response));
    this.#timer = setInterval(() => this.#advance(), CHECK_INTERVAL_MILLISECONDS);
  }

  get id() {
    return this.#options.id;
  }

  get zone() {
    return this.#options.zone;
  }

  /** Listens on a free loopback port, and returns it. */
  async listen() {
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return this.#server.address().port;
  }

  /** Gets the entry under `servers/ID`; orders are sent to `addr`. */
  createEntry(addr) {
    const { service, zone, labels, cpu, id } = this.#options;
    return {
      service,
      addr,
      zone,
      version: "v1",
      slots: 8,
      state: "ready",
      coldLeftMs: 0,
      machine: `machine-${id}`,
      capacity: { cpu, memMb: 64_000, gpu: 0 },
      labels,
      born: this.#born,
      seq: 1,
    };
  }

  /** Creates the next incarnation under the same id, which knows nothing of this one. */
  createNext() {
    return new Worker(this.#options);
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Ends at once with all that runs here, and says nothing of it. */
  crash() {
    this.close();
    this.running.clear();
  }

  #getClock() {
    return Math.floor(performance.now() - this.#startedAt);
  }

  #advance() {
    const now = performance.now();
    const isLapsed = this.#getClock() > this.#deadline;
    for (const run of [...this.running.values()]) {
      if (isLapsed) this.#end(run, "lapsed");
      else if (now >= run.endsAt) this.#end(run, "done");
      else if (now >= run.stopsAt) this.#end(run, "stopped");
    }
  }

  #end(run, how) {
    this.running.delete(run.task);
    this.#recordHighest(run.task, run.run);
    this.#lastEnd += 1;
    this.#ends.push([this.#lastEnd, run.task, run.run, how, ""]);
    this.#options.onEnd(this, run, how);
    for (const wake of [...this.#waiting]) wake();
  }

  #recordHighest(task, run) {
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
  }

  #extend(deadline) {
    const latest = this.#getClock() + MAXIMUM_HOLD_MILLISECONDS;
    this.#deadline = Math.max(this.#deadline, Math.min(deadline ?? 0, latest));
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const send = (status, body) => {
      if (this.isMute) return;
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify({ ...body, clockMs: this.#getClock(), born: this.#born }));
    };
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) return send(421, {});
    let order;
    try {
      order = JSON.parse(Buffer.concat(chunks).toString());
    } catch {
      return send(400, {});
    }
    this.#advance();
    const fence = order.fence ?? 0;
    if (fence < this.#fence) return send(409, { reason: "fence" });
    this.#fence = fence;
    if (request.url === "/-/run-start") return this.#start(order, send);
    if (request.url === "/-/run-stop") return this.#stop(order, send);
    if (request.url === "/-/hold") return await this.#hold(order, send);
    send(404, {});
  }

  #start(order, send) {
    if (this.#getClock() > (order.deadlineMs ?? 0)) return send(409, { reason: "late" });
    this.#extend(order.deadlineMs);
    const existing = this.running.get(order.task);
    if (existing?.run === order.run) return send(200, {});
    const highest = this.#highestRuns.get(order.task) ?? 0;
    if (existing !== undefined || order.run <= highest) return send(409, { reason: "old" });
    const startedAt = performance.now();
    const endsAt = startedAt + this.#options.getDuration(order.task);
    const run = { task: order.task, run: order.run, startedAt, endsAt, stopsAt: Infinity };
    this.running.set(order.task, run);
    this.#options.onStart(this, run, order);
    send(200, {});
  }

  #stop(order, send) {
    this.#recordHighest(order.task, order.run);
    const existing = this.running.get(order.task);
    if (existing?.run === order.run) {
      const stopsAt = performance.now() + this.#options.stopMilliseconds;
      existing.stopsAt = Math.min(existing.stopsAt, stopsAt);
    }
    send(200, {});
  }

  async #hold(order, send) {
    this.#extend(order.deadlineMs);
    while (this.#ends.length > 0 && this.#ends[0][0] <= (order.lastSeen ?? 0)) this.#ends.shift();
    if (this.#ends.length === 0 && order.waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.#waiting.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, Math.min(order.waitMs, MAXIMUM_WAIT_MILLISECONDS));
        this.#waiting.add(finish);
      });
    }
    const now = performance.now();
    send(200, {
      running: [...this.running.values()].map((run) => {
        const { startedAt, endsAt } = run;
        const percent = endsAt === Infinity
          ? 100
          : Math.min(99, Math.floor(100 * (now - startedAt) / (endsAt - startedAt)));
        return [run.task, run.run, "", percent, 0];
      }),
      ended: this.#ends.slice(0, MAXIMUM_LISTED_ENDS),
    });
  }
}
