// Stand-in for the platform's store and host provider, as PROTOCOL.md describes them.
// Prints one line with its addresses. `POST /control/put` writes a record as operators do; `POST
// /control/busy` lets the store answer 503 for a while.
import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;
const ANSWER_MS = 4;
const RETAINED_APPENDS = 5;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_048_576;

const partitions = new Map();
/** Until when the store answers 503 to its callers. */
let busyUntil = 0;

function getPartition(topic, part) {
  const name = `${topic}/${part}`;
  let partition = partitions.get(name);
  if (partition === undefined) {
    partition = { records: [], producers: new Map(), waiting: new Set() };
    partitions.set(name, partition);
  }
  return partition;
}

function appendRecords(partition, records) {
  const offset = partition.records.length;
  partition.records.push(...records);
  for (const wake of [...partition.waiting]) wake();
  return { offset, end: partition.records.length };
}

function splitRecords(body) {
  const records = [];
  for (let position = 0; position < body.length;) {
    if (position + 4 > body.length) return undefined;
    const length = body.readUInt32BE(position);
    position += 4;
    if (position + length > body.length) return undefined;
    records.push(body.subarray(position, position + length));
    position += length;
  }
  return records;
}

function append(query, body) {
  const partition = getPartition(query.get("topic"), query.get("part"));
  const records = splitRecords(body);
  const total = records?.reduce((sum, record) => sum + record.length, 0);
  if (records === undefined || total > CALL_BYTES) return [400, {}];
  if (records.some((record) => record.length > RECORD_BYTES)) return [400, {}];
  const name = query.get("producer");
  let producer;
  const sequence = Number(query.get("seq"));
  if (name !== null) {
    const epoch = Number(query.get("epoch"));
    producer = partition.producers.get(name);
    if (producer !== undefined && epoch < producer.epoch) return [409, { reason: "fenced" }];
    if (producer === undefined || epoch > producer.epoch) {
      producer = { epoch, sequence: sequence - 1, answers: new Map() };
      partition.producers.set(name, producer);
    }
    if (producer.answers.has(sequence)) return [200, producer.answers.get(sequence)];
    if (sequence !== producer.sequence + 1) {
      return [409, { reason: "seq", expected: producer.sequence + 1 }];
    }
  }
  const at = query.get("at");
  if (at !== null && Number(at) !== partition.records.length) {
    return [412, { end: partition.records.length }];
  }
  const answer = appendRecords(partition, records);
  if (producer !== undefined) {
    producer.sequence = sequence;
    producer.answers.set(sequence, answer);
    producer.answers.delete(sequence - RETAINED_APPENDS);
  }
  return [200, answer];
}

async function read(query, request) {
  const partition = getPartition(query.get("topic"), query.get("part"));
  const from = Number(query.get("from"));
  const waitMs = Number(query.get("waitMs") ?? 0);
  if (from >= partition.records.length && waitMs > 0) {
    await new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        partition.waiting.delete(finish);
        request.socket.off("close", finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      partition.waiting.add(finish);
      request.socket.once("close", finish);
    });
  }
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(partition.records.length), 0);
  const parts = [head];
  let left = Number(query.get("maxKb") ?? 1_024) * 1_024;
  for (const record of partition.records.slice(from)) {
    left -= 4 + record.length;
    if (left < 0 && parts.length > 1) break;
    const length = Buffer.alloc(4);
    length.writeUInt32BE(record.length);
    parts.push(length, record);
  }
  return Buffer.concat(parts);
}

function readNewest(query) {
  const partition = getPartition(query.get("topic"), query.get("part"));
  const newest = new Map();
  partition.records.forEach((record, offset) => {
    const key = record.toString("utf8", 1, 1 + record[0]);
    const value = record.subarray(1 + record[0]);
    if (value.length === 0) newest.delete(key);
    else newest.set(key, { key, value: value.toString("base64"), offset });
  });
  const after = query.get("after") ?? "";
  const rows = [...newest.values()].filter(({ key }) => key > after)
    .sort((first, second) => (first.key < second.key ? -1 : 1));
  const items = [];
  let bytes = 0;
  for (const row of rows) {
    bytes += row.value.length;
    if (items.length === PAGE_ITEMS || (bytes > PAGE_BYTES && items.length > 0)) break;
    items.push(row);
  }
  return { items, hasMore: items.length < rows.length, end: partition.records.length };
}

function put({ topic, key, value }) {
  const keyBytes = Buffer.from(key);
  const valueBytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
  const record = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes]);
  return appendRecords(getPartition(topic, "0"), [record]);
}

/** Lists a machine for each registered executor. No orders for machines are taken. */
function listMachines() {
  const { items } = readNewest(new URLSearchParams({ topic: "keyed.servers", part: "0" }));
  const machines = items.map(({ key, value }) => {
    const entry = JSON.parse(Buffer.from(value, "base64").toString());
    const { machine, service, zone, labels, capacity } = entry;
    return { machine, pool: service, state: "up", zone, labels, capacity, id: key };
  });
  return { machines, nextToken: null };
}

const gangs = new Map();
/** How long a task takes to resume from a checkpoint, in milliseconds. */
const RESTORE_MS = 250;

/**
 * Lets the tasks of a gang find each other, as their programs do: they begin once all of one run
 * are present. All must carry the same checkpoint; otherwise they wait in vain. Each task is told
 * `go` when they begin, and then `done` or, if another one has ended, `broken`.
 */
function joinGang({ step, run, count, checkpoint, milliseconds }, response) {
  const key = `${step}/${run}`;
  const gang = gangs.get(key) ?? { members: new Map() };
  gangs.set(key, gang);
  gang.members.set(response, checkpoint);
  response.writeHead(200);
  response.write("wait\n");
  const tellAll = (word) => {
    for (const member of gang.members.keys()) member.write(`${word}\n`);
  };
  response.once("close", () => {
    gang.members.delete(response);
    if (!gang.hasBegun || gang.isOver) return;
    gang.isOver = true;
    tellAll("broken");
  });
  const checkpoints = new Set(gang.members.values());
  if (gang.members.size < count || checkpoints.size > 1) return;
  gang.hasBegun = true;
  tellAll("go");
  const work = milliseconds - parseInt(checkpoint || "0", 16);
  setTimeout(() => {
    if (gang.isOver) return;
    gang.isOver = true;
    tellAll("done");
  }, work + (checkpoint === "" ? 0 : RESTORE_MS));
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function sendJson(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

const store = createServer(async (request, response) => {
  const body = await readBody(request);
  const url = new URL(request.url, "http://store");
  if (url.pathname === "/control/put") return sendJson(response, 200, put(JSON.parse(body)));
  if (url.pathname === "/control/busy") {
    busyUntil = performance.now() + JSON.parse(body).milliseconds;
    return sendJson(response, 200, {});
  }
  if (url.pathname === "/control/gang") return joinGang(JSON.parse(body), response);
  await delay(ANSWER_MS);
  if (performance.now() < busyUntil) return sendJson(response, 503, {});
  switch (url.pathname) {
    case "/-/log-append": {
      const [status, answer] = append(url.searchParams, body);
      return sendJson(response, status, answer);
    }
    case "/-/log-read":
      return response.end(await read(url.searchParams, request));
    case "/-/log-newest":
      return sendJson(response, 200, readNewest(url.searchParams));
    default:
      return sendJson(response, 404, {});
  }
});

const provider = createServer(async (request, response) => {
  await readBody(request);
  if (request.url.startsWith("/-/machines")) return sendJson(response, 200, listMachines());
  sendJson(response, 409, { reason: "busy" });
});

const listenOn = (server) =>
  new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${server.address().port}`))
  );
console.log(JSON.stringify({ store: await listenOn(store), provider: await listenOn(provider) }));
process.on("disconnect", () => process.exit(0));
