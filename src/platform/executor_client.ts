/** Orders to executors over the platform's protocol. */

import { z } from "zod";
import {
  type LookAnswer,
  type LookOrder,
  type OrderAnswer,
  OrderOutcome,
  type PaceOrder,
  type StartOrder,
  type StopOrder,
} from "../owner/owner_ports.ts";
import { RunEnd } from "../fleet/run.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { EventLog } from "../events/mod.ts";
import { getErrorMessage } from "../errors/mod.ts";
import { AnswerTimeout } from "./answer_timeout.ts";
import { HttpLink, type LinkAnswer } from "./http_link.ts";
import { parseJson } from "./store_client.ts";

/** The most connections to one executor: one for the look, the others for orders. */
const EXECUTOR_CONNECTIONS = 4;
const JSON_HEADERS = { "content-type": "application/json" };

const answerSchema = z.object({ clockMs: z.number().optional(), reason: z.string().optional() });

const holdSchema = z.object({
  clockMs: z.number(),
  born: z.number().optional(),
  // Rows are [task, run, saved, percent, usage]; ends are [number, task, run, how, saved].
  running: z.array(z.tuple([z.string(), z.number(), z.string(), z.number()]).rest(z.unknown())),
  ended: z.array(
    z.tuple([z.number(), z.string(), z.number(), z.string(), z.string()]).rest(z.unknown()),
  ),
});

const OUTCOME_BY_REASON: Readonly<Record<string, OrderOutcome>> = {
  fence: OrderOutcome.Fenced,
  old: OrderOutcome.Old,
  late: OrderOutcome.Late,
  room: OrderOutcome.NoRoom,
  ticket: OrderOutcome.NoTicket,
};

const RUN_ENDS: ReadonlySet<string> = new Set(Object.values(RunEnd));

/** The connections to one executor, and how long its answers are waited for. */
interface Contact {
  link: HttpLink;
  timeout: AnswerTimeout;
}

/** Calls executors, over connections of its own to each. */
export class ExecutorClient {
  readonly #contacts = new Map<string, Contact>();
  readonly #log: EventLog;

  private constructor(log: EventLog) {
    this.#log = log;
  }

  /** Creates a client without connections. */
  static create(log: EventLog): ExecutorClient {
    return new ExecutorClient(log);
  }

  /** Starts a run. */
  start(order: StartOrder): Promise<OrderAnswer> {
    return this.#order(order.executor, "/-/run-start", {
      task: order.task,
      run: order.run,
      taskSpec: order.text,
      deadlineMs: order.deadline,
      fence: order.fence,
      ...(order.checkpoint === "" ? {} : { lastCheckpoint: order.checkpoint }),
      ...(order.ticket === undefined ? {} : { ticket: order.ticket }),
    });
  }

  /** Stops a run. */
  stop(order: StopOrder): Promise<OrderAnswer> {
    const { task, run, fence } = order;
    return this.#order(order.executor, "/-/run-stop", { task, run, fence });
  }

  /** Sets the pace of a run. */
  pace(order: PaceOrder): Promise<OrderAnswer> {
    const { task, run, fence, percent } = order;
    return this.#order(order.executor, "/-/pace", { task, run, percent, fence });
  }

  /** Extends the lease and gets what runs and what has ended. */
  async look(order: LookOrder): Promise<LookAnswer> {
    const answer = await this.#call(order.executor, "/-/hold", {
      fence: order.fence,
      lastSeen: order.acknowledged,
      ...(order.deadline === 0 ? {} : { deadlineMs: order.deadline }),
      ...(order.waitMilliseconds === 0 ? {} : { waitMs: order.waitMilliseconds }),
    }, order.waitMilliseconds);
    if (answer === undefined) return { outcome: OrderOutcome.Unanswered };
    if (answer.status !== 200) {
      const outcome = decodeOutcome(answer);
      return { outcome: outcome === OrderOutcome.Done ? OrderOutcome.Malformed : outcome };
    }
    const parsed = holdSchema.safeParse(parseJson(answer.body));
    if (!parsed.success) {
      this.#log("executor-answer-unreadable", {
        executor: order.executor.id,
        step: "look",
        peer: order.executor.address,
        reason: parsed.error.message,
      });
      return { outcome: OrderOutcome.Malformed };
    }
    const { clockMs, born, running, ended } = parsed.data;
    return {
      outcome: OrderOutcome.Done,
      report: {
        born: born ?? 0,
        executorTime: clockMs,
        running: running.map(([task, run, checkpoint, percent, usage]) => ({
          task,
          run,
          checkpoint,
          percent,
          usage: typeof usage === "number" ? usage : 0,
        })),
        ended: ended.map(([number, task, run, how, checkpoint]) => ({
          number,
          task,
          run,
          end: (RUN_ENDS.has(how) ? how : RunEnd.Failed) as RunEnd,
          checkpoint,
        })),
      },
    };
  }

  /** Closes the connections to executors that are not among the ids. */
  keepOnly(ids: ReadonlySet<string>): void {
    for (const [id, { link }] of this.#contacts) {
      if (ids.has(id)) continue;
      this.#contacts.delete(id);
      link.close();
    }
  }

  async #order(executor: ExecutorEntry, path: string, body: unknown): Promise<OrderAnswer> {
    const answer = await this.#call(executor, path, body);
    if (answer === undefined) return { outcome: OrderOutcome.Unanswered };
    const parsed = answerSchema.safeParse(parseJson(answer.body));
    return { outcome: decodeOutcome(answer), executorTime: parsed.data?.clockMs };
  }

  async #call(
    executor: ExecutorEntry,
    path: string,
    body: unknown,
    waitMilliseconds = 0,
  ): Promise<LinkAnswer | undefined> {
    const { link, timeout } = this.#getContact(executor);
    const sentAt = performance.now();
    try {
      const answer = await link.call({
        step: path,
        method: "POST",
        path,
        headers: { ...JSON_HEADERS, "expect-instance": executor.id },
        body: JSON.stringify(body),
        timeoutMilliseconds: waitMilliseconds + timeout.getMilliseconds(),
      });
      timeout.addAnswer(Math.max(0, performance.now() - sentAt - waitMilliseconds));
      return answer;
    } catch (error) {
      timeout.addSilence();
      this.#log("executor-silent", {
        executor: executor.id,
        step: path,
        peer: executor.address,
        reason: getErrorMessage(error),
      });
      return undefined;
    }
  }

  #getContact(executor: ExecutorEntry): Contact {
    const { id, address } = executor;
    const known = this.#contacts.get(id);
    if (known?.link.address === address) return known;
    known?.link.close();
    const link = HttpLink.create({ address, connections: EXECUTOR_CONNECTIONS });
    const contact = { link, timeout: AnswerTimeout.create() };
    this.#contacts.set(id, contact);
    return contact;
  }
}

function decodeOutcome(answer: LinkAnswer): OrderOutcome {
  switch (answer.status) {
    case 200:
      return OrderOutcome.Done;
    case 409: {
      const parsed = answerSchema.safeParse(parseJson(answer.body));
      return OUTCOME_BY_REASON[parsed.data?.reason ?? ""] ?? OrderOutcome.Malformed;
    }
    case 421:
      return OrderOutcome.Gone;
    case 429:
    case 503:
      return OrderOutcome.Unwell;
    default:
      return OrderOutcome.Malformed;
  }
}
