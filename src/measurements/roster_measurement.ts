/** Measures the traffic between members of the roster, and what a heartbeat costs to take. */

import { CONTRACT_DECISIONS } from "../contracts/contract_decisions.ts";
import type { Heartbeat } from "../contracts/heartbeat.ts";
import { Membership } from "../contracts/membership.ts";
import type { EntryHost } from "../entry/entry_host.ts";
import { createLoopbackHost } from "../entry/loopback_host.ts";
import { encodePeerFrame } from "../links/peer_frame.ts";
import type { PeerMessage } from "../links/peer_message.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";
import { SimulatedLog } from "./roster_model/simulated_log.ts";

/** The members of the measured roster. */
const MEMBERS = 8;

/** The heartbeats a second from one member to one other. */
const HEARTBEATS_A_SECOND = 2;

/** An offset after two months of 18,000 changes a day. */
const LATE_OFFSET = 1_080_000;

const LOOPBACK = { host: "127.0.0.1", port: 0 };

/** The measurement `roster`. */
export const ROSTER_MEASUREMENT: Measurement = { name: "roster", run: measureRoster };

async function measureRoster(options: MeasurementOptions): Promise<MeasurementTable[]> {
  return [measureFrames(), measureTaking(), await measureTraffic(options)];
}

function createHeartbeat(more: Partial<Heartbeat>): Heartbeat {
  return {
    kind: "heartbeat",
    offset: LATE_OFFSET,
    rosterOffset: LATE_OFFSET - 40_000,
    sequence: 5_000_000,
    echo: 4_000_000,
    ageMilliseconds: 480,
    isBlind: false,
    unheard: [],
    ...more,
  };
}

function measureFrames(): MeasurementTable {
  const perSecond = (MEMBERS - 1) * HEARTBEATS_A_SECOND;
  const createRow = (name: string, bytes: number) => [name, bytes, bytes * perSecond];
  const late = createHeartbeat({});
  const named = { ...late, kind: "baseline" } as unknown as PeerMessage;
  return {
    title: `Heartbeats of ${MEMBERS} members (bound: 600 B/s for each host)`,
    columns: ["heartbeat", "bytes of a frame", "bytes a second for each host"],
    rows: [
      createRow("at the beginning", encodePeerFrame(createHeartbeat({ offset: 20 })).length),
      createRow("after two months", encodePeerFrame(late).length),
      createRow("with two unheard", encodePeerFrame({ ...late, unheard: [2, 5] }).length),
      createRow("baseline: fields by name", encodePeerFrame(named).length),
    ],
    brokenInvariants: [],
  };
}

function measureTaking(): MeasurementTable {
  const cases = [8, 27, 216].flatMap((members) => [[members, true], [members, false]] as const);
  const rows = cases.map(([memberCount, isSettled]) => {
    const { membership, memberIds } = createMembership(memberCount, isSettled);
    const perHeartbeat = measureMicroseconds(20_000, (round) => {
      const from = memberIds[1 + round % (memberIds.length - 1)] as string;
      const heartbeat = createHeartbeat({ offset: 3, rosterOffset: 3, sequence: round });
      membership.handleHeartbeat(from, heartbeat, { elapsed: round, monotonic: round });
    });
    const perTick = measureMicroseconds(200, (round) => {
      membership.handleTick({ elapsed: 20_000 + 500 * round, monotonic: 20_000 + round });
    });
    return [memberCount, isSettled ? 0 : memberCount - 1, perHeartbeat, perTick];
  });
  return {
    title: "Taking one heartbeat, and the tick that sends one to every other member",
    columns: ["members", "changes not in force", "heartbeat (microseconds)", "tick (microseconds)"],
    rows,
    brokenInvariants: [],
  };
}

/** Gets the mean time of a round in microseconds. */
function measureMicroseconds(rounds: number, run: (round: number) => void): number {
  const start = performance.now();
  for (let round = 0; round < rounds; round += 1) run(round);
  return Math.round((performance.now() - start) / rounds * 10_000) / 10;
}

function createMembership(memberCount: number, isSettled: boolean) {
  const log = SimulatedLog.create();
  const memberIds = Array.from({ length: memberCount }, (_, index) => `entry-${index}`);
  for (const memberId of memberIds) {
    const address = `${memberId}:1`;
    const addresses = { peerAddress: address, operatorAddress: address, callerAddress: address };
    const body = { memberId, entryHost: memberId, zone: "z", ...addresses };
    log.append({ id: memberId, kind: "member-joined", version: 1, author: memberId, body });
  }
  const memberId = memberIds[0] as string;
  if (isSettled) {
    const body = { rosterOffset: log.getNewestOffset() };
    log.append({ id: "settled", kind: "roster-settled", version: 1, author: memberId, body });
  }
  const decisions = CONTRACT_DECISIONS;
  const membership = Membership.create({
    memberId,
    renewalMilliseconds: 600,
    maximumListLagMilliseconds: 60_000,
    decisions,
  });
  membership.handleFleet(log.getFleet(log.getNewestOffset()), { elapsed: 0, monotonic: 0 });
  return { membership, memberIds };
}

async function measureTraffic(options: MeasurementOptions): Promise<MeasurementTable> {
  const seconds = options.isQuick ? 5 : 20;
  const platform = PlatformStandIn.create({ address: LOOPBACK, maximumEntries: 100_000 });
  const platformAddress = await platform.listen();
  const hosts = Array.from(
    { length: MEMBERS },
    (_, index) => createEntryHost(index, platformAddress),
  );
  for (const host of hosts) await host.start();
  await wait(6_000);
  const before = hosts.map(getSentBytes);
  await wait(seconds * 1_000);
  const rows = hosts.map((host, index) => {
    const bytes = getSentBytes(host) - (before[index] as number);
    return [`entry-${index}`, Math.round(bytes / seconds)];
  });
  await Promise.all(hosts.map((host) => host.stop()));
  platform.close();
  return {
    title: `Bytes sent to peers by ${MEMBERS} idle entry hosts over ${seconds} s, TCP apart ` +
      "(bound: 2,000 B/s for all control traffic)",
    columns: ["host", "bytes a second"],
    rows,
    brokenInvariants: [],
  };
}

function createEntryHost(index: number, platformAddress: string): EntryHost {
  const operatorKey = "operator-key-of-the-bench";
  return createLoopbackHost({
    flags: { name: `entry-${index}`, zone: "gh-south-a", platformAddress, operatorKey },
  });
}

function getSentBytes(host: EntryHost): number {
  const { peers } = host.getState() as { peers: { state: Record<string, { sentBytes: number }> } };
  return Object.values(peers.state).reduce((sum, peer) => sum + peer.sentBytes, 0);
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
