import test, { type ExecutionContext } from "ava";
import { setTimeout as pause } from "node:timers/promises";
import type { CallerRequest, TargetResult } from "../requests/exchange.ts";
import { ExecutorFault, ExecutorStandIn } from "../stand_ins/executor_stand_in.ts";
import { TargetTask } from "./target_task.ts";

const LOOPBACK = { host: "127.0.0.1", port: 0 };

async function startExecutor(t: ExecutionContext, serviceMilliseconds = 0) {
  const options = { name: "tugdesk-1", address: LOOPBACK, serviceMilliseconds };
  const executor = ExecutorStandIn.create(options);
  const address = await executor.listen();
  const target = TargetTask.create({ address, connections: 1 });
  t.teardown(() => {
    target.stop();
    executor.close();
  });
  return { executor, target, address };
}

function createRequest(requestId: string, path = "/work"): CallerRequest {
  return {
    requestId,
    service: "tugdesk",
    method: "POST",
    path,
    headers: {},
    body: Buffer.from(requestId),
    presentedKey: undefined,
    timeoutMilliseconds: undefined,
    idempotencyKey: undefined,
  };
}

interface CallOptions {
  path?: string;
  timeoutMilliseconds?: number;
  longestRunMilliseconds?: number;
  reports?: TargetResult[];
}

/** Calls the target, and gets the first report; all reports are added to `reports`. */
function call(target: TargetTask, requestId: string, options: CallOptions = {}) {
  return new Promise<TargetResult>((resolve) => {
    target.post({
      kind: "call",
      call: {
        callId: requestId,
        address: "",
        request: createRequest(requestId, options.path),
        timeoutMilliseconds: options.timeoutMilliseconds ?? 5_000,
        longestRunMilliseconds: options.longestRunMilliseconds ?? 5_000,
        report: (result) => {
          options.reports?.push(result);
          resolve(result);
        },
      },
    });
  });
}

function describe(result: TargetResult): string {
  if (result.outcome === "failed") {
    const reason = result.reason.replaceAll(/127\.0\.0\.1:\d+/g, "ADDRESS");
    return `failed, ${result.mayHaveLeft ? "may have been sent" : "not sent"}: ${reason}`;
  }
  if (result.outcome !== "answered") return result.outcome;
  return `answered with ${JSON.parse(Buffer.from(result.answer.body).toString()).body}`;
}

test("each fault of an executor gives a result that says whether the request may have been sent", async (t) => {
  const session: Record<string, string> = {};
  for (const fault of Object.values(ExecutorFault)) {
    const { executor, target } = await startExecutor(t);
    executor.setFault(fault);
    const result = describe(await call(target, "first"));
    const runs = executor.getRunCounts().get("first") ?? 0;
    executor.setFault(ExecutorFault.None);
    const next = describe(await call(target, "second"));
    session[fault] = `${result}; runs ${runs}; then ${next}`;
  }
  t.snapshot(session);
});

test("a request on a refused connection is reported as not sent", async (t) => {
  const { executor, target } = await startExecutor(t);
  executor.close();
  t.is(describe(await call(target, "first")), "failed, not sent: connect ECONNREFUSED ADDRESS");
});

test("a response after the timeout is reported as the end of the work of its own call only", async (t) => {
  const { executor, target } = await startExecutor(t);
  const reports: TargetResult[] = [];
  await call(target, "opens the connection", { path: "/work?milliseconds=0" });
  const path = "/work?milliseconds=2000";
  const first = await call(target, "first", { path, timeoutMilliseconds: 500, reports });
  const second = await call(target, "second", { path: "/work" });
  t.snapshot({
    first: describe(first),
    second: describe(second),
    reports: reports.map(describe),
    runs: Object.fromEntries(executor.getRunCounts()),
    target: target.getState(),
  });
});

test("a call cancelled while it waits for a connection never reaches the executor", async (t) => {
  const { executor, target } = await startExecutor(t);
  const running = call(target, "first", { path: "/work?milliseconds=500" });
  const waiting = call(target, "second");
  await pause(5);
  target.post({ kind: "cancel", callId: "second" });
  t.is(describe(await waiting), "failed, not sent: the caller disconnected");
  t.is(describe(await running), "answered with first");
  t.deepEqual(Object.fromEntries(executor.getRunCounts()), { first: 1 });
});

test("abandoned work that never ends is reported as ended after its maximum run time", async (t) => {
  const { target } = await startExecutor(t, 10_000);
  const reports: TargetResult[] = [];
  await call(target, "opens the connection", { path: "/work?milliseconds=0" });
  await call(target, "first", { timeoutMilliseconds: 500, longestRunMilliseconds: 600, reports });
  while (reports.length < 2) await pause(5);
  t.deepEqual(reports.map(describe), ["abandoned", "work-ended"]);
  t.deepEqual(target.getState(), { connections: 0, idle: 0, calls: 0, waiting: 0 });
});

test("many calls over a few connections each get their own response", async (t) => {
  const { executor, target } = await startExecutor(t);
  target.post({ kind: "set-connections", connections: 4 });
  const ids = Array.from({ length: 200 }, (_, index) => `request-${index}`);
  const results = await Promise.all(ids.map((id) => call(target, id)));
  t.deepEqual(results.map(describe), ids.map((id) => `answered with ${id}`));
  t.true(executor.getMaximumRunning() <= 4);
  t.true([...executor.getRunCounts().values()].every((runs) => runs === 1));
});
