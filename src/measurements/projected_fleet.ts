/** Records of a fleet of the size to come: its hosts first, then changes of configuration. */

import type { LogRecord } from "../records/record.ts";

/** The hosts. */
export const HOSTS = 21_000;

/** The changes of configuration of one day. */
export const CHANGES_PER_DAY = 18_000;

/** The zones. */
export const ZONES = 27;

/** The pools. */
export const POOLS = 83;

/** The teams. */
export const TEAMS = 330;

/** The racks. */
const RACKS = 1_000;

/** Gets the record at an offset of the log. */
export function createProjectedFleetRecord(offset: number): LogRecord {
  const { kind, body } = offset < HOSTS ? createEnrolment(offset) : createChange(offset - HOSTS);
  return { offset, id: `r${offset}`, kind, version: 1, author: "operator", body };
}

function createEnrolment(index: number) {
  const body = {
    host: `worker-${index}`,
    kind: "worker",
    pool: `pool-${index % POOLS}`,
    zone: `zone-${index % ZONES}`,
    rack: `rack-${index % RACKS}`,
    address: "127.0.0.1:1",
    slots: 0,
    connections: 0,
    cores: 32,
    memoryGigabytes: 128,
    accelerators: 1,
  };
  return { kind: "host-enrolled", body };
}

/** Gets a change: mostly keys, a profile now and then, a zone out or in. */
function createChange(index: number) {
  if (index % 10 === 0) return createProfile(Math.floor(index / 10) % POOLS);
  if (index % 10 === 1) return createZoneChange(Math.floor(index / 10));
  const keyId = `key-${index % 5_000}`;
  if (index % 2 === 0) return { kind: "key-withdrawn", body: { keyId } };
  const body = { keyId, team: `team-${index % TEAMS}`, secretHash: "0".repeat(64) };
  return { kind: "key-granted", body };
}

function createProfile(index: number) {
  const teams = Array.from({ length: 10 }, (_, place) => ({
    team: `team-${(index * 10 + place) % TEAMS}`,
    share: place + 1,
    upperLimit: 40 + place,
  }));
  return { kind: "profile-published", body: { profile: `profile-${index}`, teams } };
}

function createZoneChange(index: number) {
  const kind = Math.floor(index / ZONES) % 2 === 0 ? "zone-taken-out" : "zone-returned";
  return { kind, body: { zone: `zone-${index % ZONES}` } };
}
