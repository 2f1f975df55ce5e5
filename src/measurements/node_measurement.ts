/** Measures what control costs an entry host's process, by the size of the fleet. */

import { readFile } from "node:fs/promises";
import { OperatorClient } from "../commands/operator_client.ts";
import { encodeRecordText } from "../links/record_text.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import { Daemon, toFlags } from "../tests/daemon.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";
import { createProjectedFleetRecord, HOSTS } from "./projected_fleet.ts";

/** The entry hosts. */
const ENTRY_HOSTS = 3;

/** The processor time that a node may spend on control, in percent of a core. */
const MOST_PERCENT = 4.7;

/** The memory that a node may spend on control, in megabytes. */
const MOST_MEGABYTES = 128;

/** The traffic that a node may spend on control, in bytes a second. */
const MOST_BYTES_PER_SECOND = 2_000;

/** The clock ticks of a second in the process table of Linux. */
const TICKS_PER_SECOND = 100;

/** The bytes of a page. */
const PAGE_BYTES = 4_096;

const OPERATOR_KEY = "operator-key-of-the-bench";

/** The measurement `node`. */
export const NODE_MEASUREMENT: Measurement = { name: "node", run: measureNode };

interface NodeCost {
  percent: number;
  megabytes: number;
  peerBytesPerSecond: number;
}

async function measureNode(options: MeasurementOptions): Promise<MeasurementTable[]> {
  const seconds = options.isQuick ? 5 : 20;
  const rows: (string | number)[][] = [];
  for (const hosts of [0, 7_000, HOSTS]) {
    for (const changesPerSecond of [0, 1]) {
      const cost = await measureFleet(hosts, changesPerSecond, seconds);
      rows.push([hosts, changesPerSecond, cost.percent, judge(cost.percent, MOST_PERCENT)], [
        "",
        "",
        cost.megabytes,
        judge(cost.megabytes, MOST_MEGABYTES),
      ], ["", "", cost.peerBytesPerSecond, judge(cost.peerBytesPerSecond, MOST_BYTES_PER_SECOND)]);
    }
  }
  const units = ["percent of a core", "resident megabytes", "bytes a second sent to peers"];
  return [{
    title: `Control of an entry host, ${ENTRY_HOSTS} of them (at most ${MOST_PERCENT}%, ` +
      `${MOST_MEGABYTES} MB, ${MOST_BYTES_PER_SECOND} bytes/s; 18,000 changes a day are 0.21/s)`,
    columns: ["hosts in the fleet", "changes/s", "cost", "unit", "target"],
    rows: rows.map((row, index) => [...row.slice(0, 3), units[index % units.length]!, row[3]!]),
    brokenInvariants: [],
  }];
}

function judge(value: number, bound: number): string {
  return value <= bound ? "met" : "MISSED";
}

async function measureFleet(
  hosts: number,
  changesPerSecond: number,
  seconds: number,
): Promise<NodeCost> {
  const address = { host: "127.0.0.1", port: 0 };
  const platform = PlatformStandIn.create({ address, maximumEntries: 1_000_000 });
  const records = Array.from({ length: hosts }, (_, offset) => createProjectedFleetRecord(offset));
  platform.addEntries(records.map(encodeRecordText));
  const platformAddress = await platform.listen();
  const names = Array.from({ length: ENTRY_HOSTS }, (_, index) => `entry-${index + 1}`);
  const daemons = await Promise.all(names.map((name) => startEntry(name, platformAddress)));
  await wait(4);
  const before = await readCost(daemons[0]!);
  const changes = publishChanges(daemons[1]!, hosts, changesPerSecond * seconds);
  await wait(seconds);
  const after = await readCost(daemons[0]!);
  await changes;
  await Promise.all(daemons.map((daemon) => daemon.kill()));
  platform.close();
  const ticks = after.ticks - before.ticks;
  return {
    percent: round(100 * ticks / TICKS_PER_SECOND / seconds),
    megabytes: round(after.megabytes),
    peerBytesPerSecond: Math.round((after.sentBytes - before.sentBytes) / seconds),
  };
}

async function startEntry(name: string, platformAddress: string): Promise<Daemon> {
  const any = "127.0.0.1:0";
  const flags = {
    name,
    zone: "zone-1",
    "caller-address": any,
    "operator-address": any,
    "peer-address": any,
    "platform-address": platformAddress,
    "operator-key": OPERATOR_KEY,
  };
  return await Daemon.start(["entry", ...toFlags(flags)]);
}

async function publishChanges(daemon: Daemon, hosts: number, count: number): Promise<void> {
  const client = createClient(daemon);
  for (let index = 0; index < count; index += 1) {
    const { kind, body } = createProjectedFleetRecord(Math.max(hosts, HOSTS) + index);
    await Promise.all([client.publish(kind, body), wait(1)]);
  }
}

function createClient(daemon: Daemon): OperatorClient {
  const address = daemon.getAddress("operators");
  return OperatorClient.create({ address, operatorKey: OPERATOR_KEY });
}

interface Reading {
  ticks: number;
  megabytes: number;
  sentBytes: number;
}

async function readCost(daemon: Daemon): Promise<Reading> {
  const processId = daemon.getProcessId();
  const stat = await readFile(`/proc/${processId}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const statm = await readFile(`/proc/${processId}/statm`, "utf8");
  const { peers } = await createClient(daemon).getView("/state") as {
    peers: { state: Record<string, { sentBytes: number }> };
  };
  const sent = Object.values(peers.state).map((peer) => peer.sentBytes);
  return {
    ticks: Number(fields[11]) + Number(fields[12]),
    megabytes: Number(statm.split(" ")[1]) * PAGE_BYTES / 1_000_000,
    sentBytes: sent.reduce((sum, bytes) => sum + bytes, 0),
  };
}

function wait(seconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, seconds * 1_000));
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
