/** HTTP client of executors: sends the owner's orders in the platform's protocol. */

import { z } from "zod";
import {
  type OrderAnswer,
  OrderOutcome,
  type PaceOrder,
  type PollAnswer,
  type PollOrder,
  type StartOrder,
  type StopOrder,
} from "../owner/owner_ports.ts";
import { RunEnd } from "../fleet/run.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { EventLog } from "../events/mod.ts";
import { getErrorMessage } from "../errors/mod.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import type { ExecutorConnection } from "./executor_connection.ts";
import { ExecutorLink } from "./executor_link.ts";
import {
  type LinkConnection,
  type LinkRequest,
  type LinkResponse,
  NoResponseError,
} from "./http_link.ts";
import { parseJson } from "./store_client.ts";

/** The maximum number of ends that an executor lists at a time. */
const MAXIMUM_LISTED_ENDS = 500;
/**
 * How long after its decision a start may still be sent, in milliseconds: after a pause of this
 * process, a restarted executor would be bound neither by the fence nor by the deadline.
 */
export const START_SEND_LIMIT_MILLISECONDS = 1_600;
const NOT_SENT = OrderOutcome.NotSent;
const JSON_HEADERS = { "content-type": "application/json" };

const orderResponseSchema = z.object({
  clockMs: z.number().optional(),
  reason: z.string().optional(),
});

const pollResponseSchema = z.object({
  clockMs: z.number(),
  born: z.number().optional(),
  // Rows of `running` are [task, run, checkpoint, percent, usage],
  // rows of `ended` are [number, task, run, end, checkpoint].
  running: z.array(z.tuple([z.string(), z.number(), z.string(), z.number()]).rest(z.unknown())),
  ended: z.array(
    z.tuple([z.number(), z.string(), z.number(), z.string(), z.string()]).rest(z.unknown()),
  ),
});

const OUTCOME_BY_REASON: Readonly<Record<string, OrderOutcome>> = {
  fence: OrderOutcome.Fenced,
  old: OrderOutcome.StaleRun,
  late: OrderOutcome.DeadlinePassed,
  room: OrderOutcome.NoCapacity,
  ticket: OrderOutcome.NoTicket,
};

const RUN_ENDS: ReadonlySet<string> = new Set(Object.values(RunEnd));

/** How long a request may be held, and when and over which connection it may be sent. */
type RequestLimits = Pick<
  LinkRequest,
  "waitMilliseconds" | "sendLimitMilliseconds" | "connection"
>;

/** A request to an executor. */
interface ExecutorRequest {
  executor: ExecutorEntry;
  /** Chooses the connection. */
  choose: (link: ExecutorLink) => ExecutorConnection;
  path: string;
  body: unknown;
  limits: RequestLimits;
}

/** Sends orders to executors, over separate connections to each. */
export class ExecutorClient {
  readonly #links = new Map<string, ExecutorLink>();
  readonly #log: EventLog;
  #isClosed = false;

  private constructor(log: EventLog) {
    this.#log = log;
  }

  /** Creates a client, which connects to an executor at its first order. */
  static create(log: EventLog): ExecutorClient {
    return new ExecutorClient(log);
  }

  /**
   * Orders an executor to start a run.
   *
   * The start is sent once the incarnation has answered, over the same connection while that is open:
   * the next one would neither know the fence of a later owner nor read the deadline on the same clock.
   */
  async start(order: StartOrder): Promise<OrderAnswer> {
    const { executor } = order;
    const elapsedClock = ElapsedClock.create();
    let chosen: ExecutorConnection | undefined;
    const choose = (link: ExecutorLink) => chosen ??= link.chooseForOrder();
    const getLimits = (connection?: LinkConnection) => ({
      sendLimitMilliseconds: START_SEND_LIMIT_MILLISECONDS - elapsedClock.getElapsed(),
      connection,
    });
    const send = (connection?: LinkConnection) =>
      this.#sendOrder(executor, "/-/run-start", encodeStart(order), getLimits(connection), choose);
    const connection = this.#findConnection(executor, choose);
    if (connection !== undefined) return await send(connection);
    const failure = await this.#identify(order, choose, getLimits());
    if (failure !== undefined) return { outcome: failure };
    const answer = await send(this.#findConnection(executor, choose));
    // The connection did not last, and the incarnation has answered a moment ago.
    return answer.outcome === NOT_SENT ? await send() : answer;
  }

  /** Orders an executor to stop a run. */
  stop(order: StopOrder): Promise<OrderAnswer> {
    const { task, run, fence } = order;
    return this.#sendOrder(order.executor, "/-/run-stop", { task, run, fence });
  }

  /** Orders an executor to limit a run to a pace, in percent of full speed. */
  pace(order: PaceOrder): Promise<OrderAnswer> {
    const { task, run, fence, percent } = order;
    return this.#sendOrder(order.executor, "/-/pace", { task, run, percent, fence });
  }

  /**
   * Polls an executor: renews its lease, and gets its running and ended runs.
   *
   * Ends are acknowledged only over a connection on which the incarnation has answered before: the next
   * one numbers its ends from 1 too, and would discard those that nobody has seen.
   */
  async poll(order: PollOrder): Promise<PollAnswer> {
    const { executor, acknowledged } = order;
    const choose = ({ polls }: ExecutorLink) => polls;
    if (acknowledged === 0) {
      return await this.#sendPoll(order, { choose, acknowledged, limits: {} });
    }
    const polls = this.#findLink(executor)?.polls;
    const connection = this.#findConnection(executor, choose);
    if (connection !== undefined || polls?.isWithholdingOver() === true) {
      const answer = await this.#sendPoll(order, { choose, acknowledged, limits: { connection } });
      if (answer.outcome !== NOT_SENT) {
        polls?.recordAcknowledgement(false);
        return answer;
      }
    }
    const withheld = { ...order, waitMilliseconds: 0 };
    const answer = await this.#sendPoll(withheld, { choose, acknowledged: 0, limits: {} });
    if (answer.outcome === OrderOutcome.Done) {
      this.#findLink(executor)?.polls.recordAcknowledgement(true);
    }
    return answer;
  }

  /**
   * Polls an executor over a connection for orders, so that its incarnation is known. Gets why a start
   * must not follow; undefined if the incarnation that is meant has answered.
   */
  async #identify(
    { executor, fence }: StartOrder,
    choose: ExecutorRequest["choose"],
    limits: RequestLimits,
  ): Promise<OrderOutcome | undefined> {
    const poll = { executor, fence, acknowledged: 0, deadline: 0, waitMilliseconds: 0 };
    const answer = await this.#sendPoll(poll, { choose, acknowledged: 0, limits });
    if (answer.outcome === OrderOutcome.Fenced) return OrderOutcome.Fenced;
    if (answer.outcome !== OrderOutcome.Done) return NOT_SENT;
    const { born } = answer.report;
    return born === 0 || born === executor.born ? undefined : NOT_SENT;
  }

  async #sendPoll(
    order: PollOrder,
    { choose, acknowledged, limits }: {
      choose: ExecutorRequest["choose"];
      acknowledged: number;
      limits: RequestLimits;
    },
  ): Promise<PollAnswer> {
    const { executor, waitMilliseconds } = order;
    const body = {
      fence: order.fence,
      lastSeen: acknowledged,
      ...(order.deadline === 0 ? {} : { deadlineMs: order.deadline }),
      ...(waitMilliseconds === 0 ? {} : { waitMs: waitMilliseconds }),
    };
    const request = { executor, choose, path: "/-/hold", body };
    const response = await this.#post({ ...request, limits: { ...limits, waitMilliseconds } });
    if (response === undefined || response === NOT_SENT) {
      return { outcome: response ?? OrderOutcome.Unanswered };
    }
    if (response.status !== 200) {
      const outcome = decodeOutcome(response);
      return { outcome: outcome === OrderOutcome.Done ? OrderOutcome.Malformed : outcome };
    }
    const parsed = pollResponseSchema.safeParse(parseJson(response.body));
    if (!parsed.success) {
      this.#log("executor-answer-unreadable", {
        executor: order.executor.id,
        step: "poll",
        peer: order.executor.address,
        reason: parsed.error.message,
      });
      return { outcome: OrderOutcome.Malformed };
    }
    const { clockMs, born, running, ended } = parsed.data;
    const link = this.#findLink(executor);
    if (link !== undefined) {
      choose(link).recordAnswer(response.connection, born || executor.born);
    }
    return {
      outcome: OrderOutcome.Done,
      acknowledged,
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
        ended: ended.map(([number, task, run, end, checkpoint]) => ({
          number,
          task,
          run,
          end: (RUN_ENDS.has(end) ? end : RunEnd.Failed) as RunEnd,
          checkpoint,
        })),
        hasAllEnds: ended.length < MAXIMUM_LISTED_ENDS,
      },
    };
  }

  /**
   * Closes the connections to all executors except those with the given ids and those with requests
   * in flight: the list may lose the entry of an executor that is still running.
   */
  closeIdleExcept(ids: ReadonlySet<string>): void {
    for (const [id, link] of this.#links) {
      if (ids.has(id) || !link.isIdle()) continue;
      this.#links.delete(id);
      link.close();
    }
  }

  /** Closes all connections; pending requests are unanswered, and later ones not sent. */
  close(): void {
    this.#isClosed = true;
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
  }

  async #sendOrder(
    executor: ExecutorEntry,
    path: string,
    body: unknown,
    limits: RequestLimits = {},
    choose = (link: ExecutorLink) => link.chooseForOrder(),
  ): Promise<OrderAnswer> {
    const response = await this.#post({ executor, choose, path, body, limits });
    if (response === undefined || response === NOT_SENT) {
      return { outcome: response ?? OrderOutcome.Unanswered };
    }
    const parsed = orderResponseSchema.safeParse(parseJson(response.body));
    return { outcome: decodeOutcome(response), executorTime: parsed.data?.clockMs };
  }

  /** Sends a request, and gets undefined if there is no response, and `NOT_SENT` if it was not sent. */
  async #post(
    request: ExecutorRequest,
  ): Promise<LinkResponse | typeof NOT_SENT | undefined> {
    const { executor, path } = request;
    const current = this.#links.get(executor.id);
    const hasEnded = current !== undefined && current.born > executor.born;
    if (this.#isClosed || hasEnded) return NOT_SENT;
    try {
      return await this.#request(request);
    } catch (error) {
      this.#log("executor-silent", {
        executor: executor.id,
        step: path,
        peer: executor.address,
        reason: getErrorMessage(error),
      });
      return error instanceof NoResponseError && !error.isSent ? NOT_SENT : undefined;
    }
  }

  async #request(
    { executor, choose, path, body, limits }: ExecutorRequest,
  ): Promise<LinkResponse> {
    const executorLink = this.#getLink(executor);
    const connection = choose(executorLink);
    const { timeout } = executorLink;
    connection.pendingRequests += 1;
    try {
      const response = await connection.link.call({
        step: path,
        method: "POST",
        path,
        headers: { ...JSON_HEADERS, "expect-instance": executor.id },
        body: JSON.stringify(body),
        ...limits,
        idleTimeoutMilliseconds: timeout.getMilliseconds(),
      });
      timeout.recordResponse(response.latencyMilliseconds);
      return response;
    } catch (error) {
      timeout.recordFailure();
      throw error;
    } finally {
      connection.pendingRequests -= 1;
    }
  }

  /** Finds the open connection that is chosen, if the incarnation has answered over it. */
  #findConnection(
    executor: ExecutorEntry,
    choose: ExecutorRequest["choose"],
  ): LinkConnection | undefined {
    const link = this.#findLink(executor);
    return link && choose(link).findOpen(executor.born);
  }

  #findLink({ id, address, born }: ExecutorEntry): ExecutorLink | undefined {
    const link = this.#links.get(id);
    return link?.address === address && link.born === born ? link : undefined;
  }

  #getLink(executor: ExecutorEntry): ExecutorLink {
    const existing = this.#findLink(executor);
    if (existing !== undefined) return existing;
    this.#links.get(executor.id)?.close();
    const link = ExecutorLink.create(executor);
    this.#links.set(executor.id, link);
    return link;
  }
}

function encodeStart(order: StartOrder): unknown {
  return {
    task: order.task,
    run: order.run,
    taskSpec: order.text,
    deadlineMs: order.deadline,
    fence: order.fence,
    ...(order.checkpoint === "" ? {} : { lastCheckpoint: order.checkpoint }),
    ...(order.ticket === undefined ? {} : { ticket: order.ticket }),
  };
}

function decodeOutcome(response: LinkResponse): OrderOutcome {
  switch (response.status) {
    case 200:
      return OrderOutcome.Done;
    case 409: {
      const parsed = orderResponseSchema.safeParse(parseJson(response.body));
      return OUTCOME_BY_REASON[parsed.data?.reason ?? ""] ?? OrderOutcome.Unanswered;
    }
    case 421:
      return OrderOutcome.WrongIncarnation;
    case 429:
    case 503:
      return OrderOutcome.Unhealthy;
    case 400:
      return OrderOutcome.Malformed;
    default:
      // Such an answer does not show that nothing was done.
      return OrderOutcome.Unanswered;
  }
}
