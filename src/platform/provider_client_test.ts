import test from "ava";
import type { EventLog } from "../events/mod.ts";
import { type Host, HostState } from "../fleet/host.ts";
import { AdviserClient } from "./adviser_client.ts";
import { ProviderClient } from "./provider_client.ts";
import { AdviserStandIn } from "./stand_in/adviser_stand_in.ts";
import { ProviderModel } from "./stand_in/provider_model.ts";
import { ProviderFault, ProviderStandIn } from "./stand_in/provider_stand_in.ts";
import { sendJson, StandInServer } from "./stand_in/stand_in_server.ts";

const HOSTS: Host[] = ["h-1", "h-2", "h-3"].map((name, index) => ({
  name,
  pool: index === 2 ? "spare" : "tugdesk",
  state: HostState.Up,
  zone: "zl-a",
  capacity: { cpu: 32_000, memory: 131_072, accelerators: 0 },
  executorId: "",
}));

/** Creates a log that collects each event with its step. */
function collectEvents() {
  const events: string[] = [];
  const log: EventLog = (event, fields) => {
    events.push(`${event} step=${String(fields?.["step"])}`);
  };
  return { events, log };
}

test("lists hosts page by page, orders moves and maintenance, and distinguishes refusals", async (t) => {
  const model = ProviderModel.create({
    hosts: HOSTS,
    moveMilliseconds: 60_000,
    maintenanceMilliseconds: 60_000,
    leaseMilliseconds: 3_000,
    onOutOfService: () => {},
    onRemoved: () => {},
    onInService: (host) => `i-${host.name}`,
    onViolation: (rule, what) => t.fail(`${rule}: ${what}`),
  });
  const provider = ProviderStandIn.create(model);
  const { events, log } = collectEvents();
  const client = ProviderClient.create({
    address: await provider.listen(),
    holder: "entry-1",
    log,
  });
  t.teardown(() => (client.close(), provider.close()));
  const results: Record<string, unknown> = {
    "a move": await client.move("h-1", "spare", 4),
    "a move of a moving host": await client.move("h-1", "tugdesk", 4),
    "a move of an unknown host": await client.move("h-9", "spare", 4),
    "maintenance": await client.maintain("h-2", 7, 4),
    "the same maintenance repeated": await client.maintain("h-2", 7, 4),
    "the list": await client.list(),
    "the lease holders": [...new Set(provider.holders)],
  };
  for (const fault of [ProviderFault.Busy, ProviderFault.Malformed, ProviderFault.AnswerLost]) {
    provider.fault = fault;
    results[`a move, ${fault}`] = await client.move("h-3", "tugdesk", 4);
  }
  for (const fault of [ProviderFault.Busy, ProviderFault.Malformed, ProviderFault.RequestLost]) {
    provider.fault = fault;
    results[`the list, ${fault}`] = await client.list() ?? "none";
  }
  provider.fault = ProviderFault.None;
  const moved = (await client.list())?.find(({ name }) => name === "h-3");
  results["the pool after the lost response"] = moved?.pool;
  results["logged events"] = events;
  t.snapshot(results);
});

test("a page token that can't be sent back makes the list unreadable, and ends no process", async (t) => {
  const server = StandInServer.create((_request, _body, response) =>
    sendJson(response, 200, { machines: [], nextToken: "\ud800" })
  );
  const { events, log } = collectEvents();
  const client = ProviderClient.create({ address: await server.listen(), holder: "entry-1", log });
  t.teardown(() => (client.close(), server.close()));
  t.is(await client.list(), undefined);
  t.deepEqual(events, ["provider-answer-unreadable step=list-hosts"]);
});

test("gets the executors and tickets of an advice, and none from a refusal", async (t) => {
  const adviser = AdviserStandIn.create({
    mayRun: (_step, id) => id !== "i-2",
    validMilliseconds: 3_000,
  });
  const { events, log } = collectEvents();
  const client = AdviserClient.create(await adviser.listen(), log);
  t.teardown(() => (client.close(), adviser.close()));
  const advice = await client.ask("j.0.1", ["i-1", "i-2", "i-3"]);
  adviser.status = 429;
  const refused = await client.ask("j.0.1", ["i-1"]);
  t.snapshot({ advice, refused: refused ?? "none", logged: events });
});
