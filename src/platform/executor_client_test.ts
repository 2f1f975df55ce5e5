import type { ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import type { EventLog } from "../events/mod.ts";
import { createListedExecutor } from "../stand_ins/fleet_fixtures.ts";
import { RunEnd } from "../fleet/run.ts";
import { OrderOutcome } from "../owner/owner_ports.ts";
import { pauseProcess } from "../stand_ins/pause_process.ts";
import { ExecutorClient, START_SEND_LIMIT_MILLISECONDS } from "./executor_client.ts";
import { RunExecutorStandIn } from "./stand_in/run_executor_stand_in.ts";
import { sendJson, StandInServer } from "./stand_in/stand_in_server.ts";

test("orders to an address to which no link can be made are unanswered, and end no process", async (t) => {
  const events: string[] = [];
  const log: EventLog = (event, fields) => {
    const { step, peer, reason } = fields ?? {};
    events.push(`${event} step=${step} peer=${peer} reason=${reason}`);
  };
  const client = ExecutorClient.create(log);
  const executor = createListedExecutor({ address: "127.0.0.1:70000" });
  const run = { executor, task: "j.0.0.0", run: 1, fence: 1 };
  const answers = {
    start: await client.start({ ...run, text: "", deadline: 0, checkpoint: "" }),
    stop: await client.stop(run),
    pace: await client.pace({ ...run, percent: 50 }),
    poll: await client.poll({
      executor,
      fence: 1,
      acknowledged: 0,
      deadline: 0,
      waitMilliseconds: 0,
    }),
  };
  client.close();
  t.snapshot({ answers, events });
});

test("a poll in flight is not cut off when its executor is no longer listed", async (t) => {
  const standIn = RunExecutorStandIn.create({
    id: "i-1",
    service: "tugdesk",
    zone: "zl-a",
    planRun: () => ({ durationMilliseconds: 0, end: RunEnd.Done }),
  });
  const { addr } = await standIn.listen();
  const executor = createListedExecutor({ address: String(addr) });
  const events: string[] = [];
  const client = ExecutorClient.create((event) => events.push(event));
  t.teardown(() => (client.close(), standIn.close()));
  const order = { executor, fence: 1, acknowledged: 0, deadline: 0 };
  const poll = client.poll({ ...order, waitMilliseconds: 300 });
  client.closeIdleExcept(new Set());
  t.is((await poll).outcome, OrderOutcome.Done);
  t.deepEqual(events, []);
});

// Guards against a cut list of ends that is taken for a complete one.
test("a report with as many ends as an executor lists at a time does not count as complete", async (t) => {
  const standIn = RunExecutorStandIn.create({
    id: "i-1",
    service: "tugdesk",
    zone: "zl-a",
    planRun: () => ({ durationMilliseconds: 0, end: RunEnd.Done }),
  });
  const { addr, born } = await standIn.listen();
  const executor = createListedExecutor({ address: String(addr), born: Number(born) });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), standIn.close()));
  const poll = async () => {
    const order = { executor, fence: 1, acknowledged: 0, deadline: 0, waitMilliseconds: 0 };
    const answer = await client.poll(order);
    if (answer.outcome !== OrderOutcome.Done) return answer.outcome;
    return { ends: answer.report.ended.length, hasAllEnds: answer.report.hasAllEnds };
  };
  const start = (index: number) =>
    client.start({
      executor,
      task: `j.0.0.${index}`,
      run: 1,
      text: "",
      deadline: 60_000,
      fence: 1,
      checkpoint: "",
    });
  for (let index = 0; index < 499; index += 1) await start(index);
  const complete = await poll();
  for (let index = 499; index < 510; index += 1) await start(index);
  t.deepEqual([complete, await poll()], [
    { ends: 499, hasAllEnds: true },
    { ends: 500, hasAllEnds: false },
  ]);
});

// Guards against a start elsewhere after an answer that does not show that nothing was started.
test("only answers that say so show that an order was not carried out", async (t) => {
  const answers: [number, unknown][] = [
    [200, {}],
    [400, {}],
    [409, { reason: "old" }],
    [409, { reason: "new-reason" }],
    [409, "unreadable"],
    [421, {}],
    [500, {}],
    [502, {}],
    [503, {}],
  ];
  const outcomes: Record<string, OrderOutcome> = {};
  for (const [status, body] of answers) {
    const server = StandInServer.create((_request, _body, response) =>
      sendJson(response, status, body)
    );
    const executor = createListedExecutor({ address: await server.listen() });
    const client = ExecutorClient.create(() => {});
    const { outcome } = await client.stop({ executor, task: "j.0.0.0", run: 1, fence: 1 });
    outcomes[`${status} ${JSON.stringify(body)}`] = outcome;
    client.close();
    server.close();
  }
  t.snapshot(outcomes);
});

// Guards against a start by a host that was paused, at an executor that has restarted meanwhile.
test.serial("a start is not sent after a pause of the process, and a stop is", async (t) => {
  const received: string[] = [];
  const server = StandInServer.create((request, _body, response) => {
    received.push(request.url ?? "");
    sendJson(response, 200, { clockMs: 0 });
  });
  const executor = createListedExecutor({ address: await server.listen() });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), server.close()));
  const run = { executor, task: "j.0.0.0", run: 1, fence: 1 };
  const start = client.start({ ...run, text: "", deadline: 0, checkpoint: "" });
  void client.stop(run);
  // The connections are being opened, and open while the process is paused.
  pauseProcess(START_SEND_LIMIT_MILLISECONDS + 100);
  t.is((await start).outcome, OrderOutcome.NotSent);
  t.is((await client.pace({ ...run, percent: 50 })).outcome, OrderOutcome.Done);
  t.deepEqual(received.sort(), ["/-/pace", "/-/run-stop"]);
});

// Guards against a wait for the lease of a start that no executor can have got.
test("a start counts as not sent if its connection was refused, and as unanswered once it was sent", async (t) => {
  const silent = StandInServer.create((request, _body, response) => {
    if (request.url === "/-/hold") sendJson(response, 200, { ...REPORT, ended: [] });
  });
  const closed = StandInServer.create(() => {});
  const addresses = { silent: await silent.listen(), closed: await closed.listen() };
  closed.close();
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), silent.close()));
  const getOutcome = async (id: string, address: string) => {
    const executor = createListedExecutor({ id, address });
    const start = { executor, task: "j.0.0.0", run: 1, fence: 1, text: "", checkpoint: "" };
    return (await client.start({ ...start, deadline: 0 })).outcome;
  };
  t.deepEqual({
    silent: await getOutcome("i-1", addresses.silent),
    closed: await getOutcome("i-2", addresses.closed),
  }, { silent: OrderOutcome.Unanswered, closed: OrderOutcome.NotSent });
});

// Guards against a done task that starts again since nobody has seen its end.
test("an acknowledgement does not discard ends of the next incarnation of an executor", async (t) => {
  const createStandIn = () =>
    RunExecutorStandIn.create({
      id: "i-1",
      service: "tugdesk",
      zone: "zl-a",
      planRun: () => ({ durationMilliseconds: 0, end: RunEnd.Done }),
    });
  const client = ExecutorClient.create(() => {});
  const earlier = createStandIn();
  const { addr, born } = await earlier.listen();
  const executor = createListedExecutor({ address: String(addr), born: Number(born) });
  const starter = ExecutorClient.create(() => {});
  const start = (task: string, incarnation: number) => {
    const order = { task, run: 1, text: "", fence: 1, checkpoint: "", deadline: 60_000 };
    return starter.start({ ...order, executor: { ...executor, born: incarnation } });
  };
  const poll = async (acknowledged: number) => {
    const order = { executor, fence: 1, acknowledged, deadline: 0, waitMilliseconds: 0 };
    const answer = await client.poll(order);
    if (answer.outcome !== OrderOutcome.Done) return answer.outcome;
    return answer.report.ended.map(({ number, task }) => `${number} ${task}`);
  };
  await start("j.0.0.0", Number(born));
  const before = await poll(0);
  earlier.close();
  const next = createStandIn();
  t.teardown(() => (client.close(), starter.close(), next.close()));
  const entry = await next.listen(Number(String(addr).split(":")[1]));
  t.is((await start("j.0.0.1", Number(entry["born"]))).outcome, OrderOutcome.Done);
  t.deepEqual({ before, after: [await poll(1), await poll(1)] }, {
    before: ["1 j.0.0.0"],
    after: [["1 j.0.0.1"], ["1 j.0.0.1"]],
  });
});

/** Starts a server that answers polls as one incarnation, and records their bodies. */
async function startPolledServer(
  answer: (body: Record<string, unknown>, response: ServerResponse) => void,
) {
  const bodies: Record<string, unknown>[] = [];
  const server = StandInServer.create((_request, content, response) => {
    const body = JSON.parse(content.toString());
    bodies.push(body);
    answer(body, response);
  });
  return { server, bodies, address: await server.listen() };
}

const REPORT = { clockMs: 5, born: 1, running: [], ended: [[1, "j.0.0.0", 1, "done", ""]] };

// Guards against an incarnation that counts as silent while the poll of an earlier one is held.
test("a poll does not wait for the answer to the poll of an earlier incarnation", async (t) => {
  const { server, bodies, address } = await startPolledServer(({ waitMs }, response) => {
    if (waitMs === undefined) sendJson(response, 200, { ...REPORT, born: 2 });
  });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), server.close()));
  const poll = (born: number, waitMilliseconds: number) => {
    const executor = createListedExecutor({ address, born });
    return client.poll({ executor, fence: 1, acknowledged: 0, deadline: 0, waitMilliseconds });
  };
  void poll(1, 1_000);
  while (bodies.length === 0) await delay(5);
  t.is((await poll(2, 0)).outcome, OrderOutcome.Done);
});

// Guards against ends that an executor lists for good, until its lists are cut.
test("ends are acknowledged to an executor that closes the connection after each response", async (t) => {
  const { server, bodies, address } = await startPolledServer((_body, response) => {
    response.setHeader("connection", "close");
    sendJson(response, 200, REPORT);
  });
  const executor = createListedExecutor({ address, born: 1 });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), server.close()));
  const order = { executor, fence: 1, acknowledged: 1, deadline: 0, waitMilliseconds: 0 };
  for (let count = 0; count < 10; count += 1) {
    await client.poll(order);
    await delay(25);
  }
  t.true(bodies.some(({ lastSeen }) => lastSeen === 1), JSON.stringify(bodies));
});

// Guards against an acknowledgement that is late by the time for which a poll may be held.
test("a poll without the acknowledgement that is due is not held by the executor", async (t) => {
  const { server, bodies, address } = await startPolledServer((_body, response) =>
    sendJson(response, 200, REPORT)
  );
  const executor = createListedExecutor({ address, born: 1 });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), server.close()));
  const order = { executor, fence: 1, acknowledged: 1, deadline: 0, waitMilliseconds: 1_000 };
  await client.poll(order);
  await client.poll(order);
  t.deepEqual(bodies.map(({ lastSeen, waitMs }) => ({ lastSeen, waitMs })), [
    { lastSeen: 0, waitMs: undefined },
    { lastSeen: 1, waitMs: 1_000 },
  ]);
});

// Guards against an acknowledgement over a connection that was opened for another incarnation.
test("no acknowledgement follows a change of the address, a timeout or another incarnation", async (t) => {
  let born = 1;
  let isSilent = false;
  const answer = (_body: unknown, response: ServerResponse) => {
    if (!isSilent) sendJson(response, 200, { ...REPORT, born });
  };
  const servers = [await startPolledServer(answer), await startPolledServer(answer)] as const;
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), servers.forEach(({ server }) => server.close())));
  const acknowledged: Record<string, unknown> = {};
  const poll = async (step: string, address = servers[0].address) => {
    const executor = createListedExecutor({ address, born: 1 });
    const order = { executor, fence: 1, acknowledged: 1, deadline: 0, waitMilliseconds: 0 };
    const result = await client.poll(order);
    acknowledged[step] = result.outcome === OrderOutcome.Done
      ? result.acknowledged
      : result.outcome;
  };
  await poll("first");
  await poll("second");
  await poll("elsewhere", servers[1].address);
  await poll("back");
  await poll("back, second");
  isSilent = true;
  await poll("silent");
  isSilent = false;
  await poll("after silence");
  await poll("after silence, second");
  servers[0].server.close();
  servers[0].server.listen(Number(servers[0].address.split(":")[1]));
  born = 2;
  await poll("restarted");
  await poll("restarted, second");
  t.deepEqual(acknowledged, {
    first: 0,
    second: 1,
    elsewhere: 0,
    back: 0,
    "back, second": 1,
    silent: OrderOutcome.Unanswered,
    "after silence": 0,
    "after silence, second": 1,
    restarted: 0,
    "restarted, second": 0,
  });
});

// Guards against a lease that an owner extends after it has ended, over a link that nobody closes.
test("a closed client does not send a poll again", async (t) => {
  const { server, bodies, address } = await startPolledServer((_body, response) =>
    sendJson(response, 200, REPORT)
  );
  const executor = createListedExecutor({ address, born: 1 });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), server.close()));
  const order = { executor, fence: 1, acknowledged: 1, deadline: 0, waitMilliseconds: 0 };
  await client.poll(order);
  const poll = client.poll(order);
  client.close();
  t.not((await poll).outcome, OrderOutcome.Done);
  t.is(bodies.length, 1);
});

// Guards against a second run by an owner that wakes at an executor that knows no later fence.
test("a start for an incarnation of an executor does not reach the next one", async (t) => {
  const received: string[] = [];
  const server = StandInServer.create((request, _body, response) => {
    received.push(request.url ?? "");
    sendJson(response, 200, { ...REPORT, born: 2 });
  });
  const executor = createListedExecutor({ address: await server.listen(), born: 1 });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), server.close()));
  const order = { executor, task: "j.0.0.0", run: 1, fence: 1, text: "", checkpoint: "" };
  const outcomes = [];
  for (let count = 0; count < 2; count += 1) {
    outcomes.push((await client.start({ ...order, deadline: 60_000 })).outcome);
  }
  t.deepEqual({ outcomes, received }, {
    outcomes: [OrderOutcome.NotSent, OrderOutcome.NotSent],
    received: ["/-/hold", "/-/hold"],
  });
});

// Guards against a queue that waits for good at executors whose connections do not last.
test("a start reaches an executor that closes the connection after each response", async (t) => {
  const received: string[] = [];
  const server = StandInServer.create((request, _body, response) => {
    received.push(request.url ?? "");
    response.setHeader("connection", "close");
    sendJson(response, 200, REPORT);
  });
  const executor = createListedExecutor({ address: await server.listen(), born: 1 });
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), server.close()));
  const order = { executor, task: "j.0.0.0", run: 1, fence: 1, text: "", checkpoint: "" };
  t.is((await client.start({ ...order, deadline: 60_000 })).outcome, OrderOutcome.Done);
  t.deepEqual(received, ["/-/hold", "/-/run-start"]);
});

// Guards against a late order for an earlier incarnation that closes the connections to the next one.
test("no order is sent for an incarnation of an executor once the next one was polled", async (t) => {
  const { server, bodies, address } = await startPolledServer((_body, response) =>
    sendJson(response, 200, { ...REPORT, born: 2 })
  );
  const client = ExecutorClient.create(() => {});
  t.teardown(() => (client.close(), server.close()));
  const poll = async (born: number) => {
    const executor = createListedExecutor({ address, born });
    const order = { executor, fence: 1, acknowledged: 0, deadline: 0, waitMilliseconds: 0 };
    return (await client.poll(order)).outcome;
  };
  const outcomes = [await poll(2), await poll(1), await poll(2)];
  const executor = createListedExecutor({ address, born: 1 });
  const order = { executor, task: "j.0.0.0", run: 1, fence: 1, text: "", checkpoint: "" };
  outcomes.push((await client.start({ ...order, deadline: 60_000 })).outcome);
  const { Done, NotSent } = OrderOutcome;
  t.deepEqual({ outcomes, sent: bodies.length }, {
    outcomes: [Done, NotSent, Done, NotSent],
    sent: 2,
  });
});
