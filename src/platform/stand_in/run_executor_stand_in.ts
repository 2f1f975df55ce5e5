/**
 * A stand-in for an executor that listens on loopback and serves an `ExecutorModel`: it runs the
 * tasks of jobs under the orders of the fleet's owner. The stand-in of `src/stand_ins` serves the
 * requests of callers instead.
 */

import { randomInt } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RunEnd } from "../../fleet/run.ts";
import { OrderOutcome } from "../../owner/owner_ports.ts";
import { parseJson } from "../store_client.ts";
import { ExecutorModel, type ModelEnd, type ModelRun, type RunPlan } from "./executor_model.ts";
import { sendJson, StandInServer } from "./stand_in_server.ts";

/** The bound of the two parts of a loopback address that are chosen. */
const LOOPBACK_PARTS = 250;
/**
 * The address of the executors of this process, which no outgoing connection takes as its own: one of
 * those could take a port while an executor restarts there.
 */
const ADDRESS = `127.${randomInt(1, LOOPBACK_PARTS)}.${randomInt(1, LOOPBACK_PARTS)}.3`;

/** The interval at which a long poll checks for an ended run, in milliseconds. */
const POLL_CHECK_INTERVAL_MILLISECONDS = 5;

/** The interval at which runs are checked for their ends, in milliseconds. */
const ADVANCE_INTERVAL_MILLISECONDS = 5;

const REASON_BY_OUTCOME: Readonly<Record<string, string>> = {
  [OrderOutcome.Fenced]: "fence",
  [OrderOutcome.StaleRun]: "old",
  [OrderOutcome.DeadlinePassed]: "late",
};

interface OrderBody {
  task: string;
  run: number;
  taskSpec: string;
  deadlineMs?: number;
  fence: number;
  lastSeen?: number;
  waitMs?: number;
}

/** Options of a `RunExecutorStandIn`. */
export interface RunExecutorStandInOptions {
  /** The executor's id. */
  id: string;
  /** The service whose tasks it runs. */
  service: string;
  /** The availability zone. */
  zone: string;
  /** Plans the course of a run. */
  planRun: (task: string, run: number) => RunPlan;
  /** Called with each run that starts. */
  onStart?: (run: ModelRun) => void;
  /** Called with each run that ends, and how it ended. */
  onEnd?: (run: ModelRun, end: RunEnd) => void;
  /** Called with each end that is acknowledged. */
  onAcknowledged?: (end: ModelEnd) => void;
  /**
   * Gets how late an order from an address is carried out and then left unanswered, in milliseconds:
   * 0 for one that is carried out and answered in time, `Infinity` for one that is lost.
   */
  getLateness?: ((sender: string) => number) | undefined;
  /** Gets whether an answer that is sent to an address now is lost. */
  isAnswerLost?: ((sender: string) => boolean) | undefined;
}

/** Answers an order, unless the answer is lost. */
type Answer = (status: number, body: unknown) => void;

/** An executor that runs no real tasks: each run lasts for its planned duration. */
export class RunExecutorStandIn {
  /** The executor's id. */
  readonly id: string;
  /** The names of the tasks that were started, in order. */
  readonly starts: string[] = [];
  /** Whether it carries out orders and answers none. */
  isMute = false;
  readonly #options: RunExecutorStandInOptions;
  readonly #server: StandInServer;
  readonly #model: ExecutorModel;
  readonly #born = Date.now();
  readonly #timer: NodeJS.Timeout;
  /** The timers of the orders that are carried out late. */
  readonly #lateOrders = new Set<NodeJS.Timeout>();
  #isClosed = false;
  #endCount = 0;

  private constructor(options: RunExecutorStandInOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server = StandInServer.create((request, body, response) =>
      this.#handle(request, body, response)
    );
    this.#model = ExecutorModel.create({
      capacity: CAPACITY,
      born: this.#born,
      startedAt: performance.now(),
      stopMilliseconds: 20,
      startupMilliseconds: 20,
      planRun: options.planRun,
      onStart: (run) => {
        this.starts.push(run.task);
        options.onStart?.(run);
      },
      onEnd: (run, end) => {
        this.#endCount += 1;
        options.onEnd?.(run, end);
      },
      onAcknowledged: options.onAcknowledged,
    });
    this.#timer = setInterval(
      () => this.#model.advance(performance.now()),
      ADVANCE_INTERVAL_MILLISECONDS,
    );
    this.#timer.unref();
  }

  /** Creates an executor. It accepts requests once `listen` is called. */
  static create(options: RunExecutorStandInOptions): RunExecutorStandIn {
    return new RunExecutorStandIn(options);
  }

  /** The id and the time of the start, which tell the incarnations apart. */
  get incarnation(): string {
    return `${this.id}/${this.#born}`;
  }

  /** Listens on a loopback port, by default a free one, and returns the entry for the store. */
  async listen(port = 0): Promise<Record<string, unknown>> {
    const addr = await this.#server.listen(port, ADDRESS);
    const { service, zone } = this.#options;
    return {
      service,
      addr,
      zone,
      version: "v1",
      slots: 8,
      state: "ready",
      capacity: { cpu: CAPACITY.cpu, memMb: CAPACITY.memory, gpu: 0 },
      labels: ["a", "r1"],
      born: this.#born,
      seq: 1,
    };
  }

  /** Closes the listening socket and all connections. Orders that are late are not carried out. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
    for (const timer of this.#lateOrders) clearTimeout(timer);
    this.#server.close();
  }

  async #handle(request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
    const { getLateness, isAnswerLost } = this.#options;
    const sender = request.socket.remoteAddress ?? "";
    const lateness = getLateness?.(sender) ?? 0;
    if (lateness === Infinity) return;
    if (lateness > 0) return this.#carryOutLate(request, body, lateness);
    await this.#carryOut(request, body, (status, content) => {
      if (!this.isMute && !isAnswerLost?.(sender)) sendJson(response, status, content);
    });
  }

  #carryOutLate(request: IncomingMessage, body: Buffer, lateness: number): void {
    const timer = setTimeout(() => {
      this.#lateOrders.delete(timer);
      void this.#carryOut(request, body, () => {});
    }, lateness);
    this.#lateOrders.add(timer);
  }

  async #carryOut(request: IncomingMessage, body: Buffer, answer: Answer): Promise<void> {
    if (this.#isClosed) return;
    const order = parseJson(body) as OrderBody;
    if (request.headers["expect-instance"] !== this.id) return answer(421, {});
    const now = performance.now();
    switch (request.url) {
      case "/-/run-start":
        return this.#sendOutcome(
          answer,
          this.#model.start({ ...order, deadline: order.deadlineMs ?? 0 }, now),
        );
      case "/-/run-stop":
        return this.#sendOutcome(
          answer,
          this.#model.stop(order.task, order.run, order.fence, now),
        );
      case "/-/hold":
        return await this.#poll(answer, order);
      default:
        return answer(404, {});
    }
  }

  async #poll(answer: Answer, order: OrderBody): Promise<void> {
    const request = {
      fence: order.fence,
      acknowledged: order.lastSeen ?? 0,
      deadline: order.deadlineMs ?? 0,
    };
    const until = performance.now() + (order.waitMs ?? 0);
    const previousEndCount = this.#endCount;
    let report = this.#model.poll(request, performance.now());
    while (
      report !== undefined && report.ended.length === 0 && this.#endCount === previousEndCount &&
      performance.now() < until
    ) {
      await new Promise((resolve) => setTimeout(resolve, POLL_CHECK_INTERVAL_MILLISECONDS));
      if (this.#isClosed) return;
      report = this.#model.poll(request, performance.now());
    }
    if (report === undefined) return this.#sendOutcome(answer, OrderOutcome.Fenced);
    answer(200, {
      clockMs: report.executorTime,
      born: report.born,
      running: report.running.map((row) => [
        row.task,
        row.run,
        row.checkpoint,
        row.percent,
        row.usage,
      ]),
      ended: report.ended.map((row) => [row.number, row.task, row.run, row.end, row.checkpoint]),
    });
  }

  #sendOutcome(answer: Answer, outcome: OrderOutcome): void {
    const clockMs = this.#model.getExecutorTime(performance.now());
    if (outcome === OrderOutcome.Done) return answer(200, { clockMs });
    answer(409, { clockMs, reason: REASON_BY_OUTCOME[outcome] });
  }
}

/** The total capacity of each stand-in. */
const CAPACITY = { cpu: 8_000, memory: 16_000, accelerators: 0 };
