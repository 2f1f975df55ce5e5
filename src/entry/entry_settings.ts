/** The settings of an entry host. */

import { readFileSync } from "node:fs";
import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import { parseSocketAddress } from "../links/socket_address.ts";
import type { SettingValues } from "./setting.ts";

/** The schema of an address as text. */
export const ADDRESS_SETTING_SCHEMA = z.string().transform((text, context) => {
  const address = parseSocketAddress(text);
  if (address !== undefined) return address;
  context.addIssue({ code: "custom", message: "no address" });
  return z.NEVER;
});

const addressTextSchema = z.string().refine((text) => parseSocketAddress(text) !== undefined);

/** Creates the schema of an integer with a default. */
function createIntegerSchema(minimum: number, maximum: number, defaultValue: number) {
  return z.string().default(String(defaultValue)).transform(Number).pipe(
    z.int().min(minimum).max(maximum),
  );
}

/** The schema of an optional file name; the value is the content of the file. */
const FILE_TEXT_SCHEMA = z.string().optional().transform((file, context) => {
  try {
    return file === undefined ? undefined : readFileSync(file, "utf8");
  } catch (error) {
    context.addIssue({ code: "custom", message: getErrorMessage(error) });
    return z.NEVER;
  }
});

const CERTIFICATE_EXPECTED = "a readable file in PEM: the certificate chain";

const CERTIFICATE_KEY_EXPECTED = "a readable file in PEM: the certificate's private key";

const ADDRESS_EXPECTED = "an IP address and a port, such as 127.0.0.1:7000";

/** The settings of an entry host by name. */
export const ENTRY_SETTINGS = {
  name: {
    flag: "--name",
    variable: "TANAGERPIN_NAME",
    expected: "the name of the entry host, 1 to 64 letters, digits or hyphens",
    schema: z.string().regex(/^[A-Za-z0-9-]{1,64}$/),
  },
  zone: {
    flag: "--zone",
    variable: "TANAGERPIN_ZONE",
    expected: "the name of the availability zone",
    schema: z.string().min(1).max(64),
  },
  callerAddress: {
    flag: "--caller-address",
    variable: "TANAGERPIN_CALLER_ADDRESS",
    expected: ADDRESS_EXPECTED,
    schema: ADDRESS_SETTING_SCHEMA,
  },
  operatorAddress: {
    flag: "--operator-address",
    variable: "TANAGERPIN_OPERATOR_ADDRESS",
    expected: ADDRESS_EXPECTED,
    schema: ADDRESS_SETTING_SCHEMA,
  },
  peerAddress: {
    flag: "--peer-address",
    variable: "TANAGERPIN_PEER_ADDRESS",
    expected: ADDRESS_EXPECTED,
    schema: ADDRESS_SETTING_SCHEMA,
  },
  advertisedPeerAddress: {
    flag: "--advertised-peer-address",
    variable: "TANAGERPIN_ADVERTISED_PEER_ADDRESS",
    expected: "the address at which peers reach this host, if it is not the one it listens on",
    schema: addressTextSchema.optional(),
  },
  platformAddress: {
    flag: "--platform-address",
    variable: "TANAGERPIN_PLATFORM_ADDRESS",
    expected: ADDRESS_EXPECTED,
    schema: addressTextSchema,
  },
  operatorKey: {
    flag: "--operator-key",
    variable: "TANAGERPIN_OPERATOR_KEY",
    expected: "the operators' key, at least 16 characters",
    schema: z.string().min(16),
  },
  readInterval: {
    flag: "--read-interval-milliseconds",
    variable: "TANAGERPIN_READ_INTERVAL_MILLISECONDS",
    expected: "the time between two reads of the record log, 20 to 1000 ms",
    schema: createIntegerSchema(20, 1_000, 500),
  },
  appendInterval: {
    flag: "--append-interval-milliseconds",
    variable: "TANAGERPIN_APPEND_INTERVAL_MILLISECONDS",
    expected: "the time between two appends to the record log, 5 to 2000 ms",
    schema: createIntegerSchema(5, 2_000, 25),
  },
  snapshotIntervalRecords: {
    flag: "--snapshot-interval-records",
    variable: "TANAGERPIN_SNAPSHOT_INTERVAL_RECORDS",
    expected: "the records after which a snapshot is published, 100 to 100000",
    schema: createIntegerSchema(100, 100_000, 5_000),
  },
  snapshotInterval: {
    flag: "--snapshot-interval-milliseconds",
    variable: "TANAGERPIN_SNAPSHOT_INTERVAL_MILLISECONDS",
    expected: "the time after which a snapshot is published, 1000 to 86400000 ms, " +
      "at most a third of the record log's retention",
    schema: createIntegerSchema(1_000, 86_400_000, 600_000),
  },
  heartbeatInterval: {
    flag: "--heartbeat-interval-milliseconds",
    variable: "TANAGERPIN_HEARTBEAT_INTERVAL_MILLISECONDS",
    expected: "the time between two heartbeats, 20 to 1000 ms",
    schema: createIntegerSchema(20, 1_000, 500),
  },
  platformTimeout: {
    flag: "--platform-timeout-milliseconds",
    variable: "TANAGERPIN_PLATFORM_TIMEOUT_MILLISECONDS",
    expected: "the time-out of a request to the platform, 50 to 60000 ms",
    schema: createIntegerSchema(50, 60_000, 2_000),
  },
  publicationTimeout: {
    flag: "--publication-timeout-milliseconds",
    variable: "TANAGERPIN_PUBLICATION_TIMEOUT_MILLISECONDS",
    expected: "how long a publication waits for its verdict, 50 to 60000 ms",
    schema: createIntegerSchema(50, 60_000, 10_000),
  },
  balancerDelay: {
    flag: "--balancer-delay-milliseconds",
    variable: "TANAGERPIN_BALANCER_DELAY_MILLISECONDS",
    expected: "how long a stopping host still accepts callers, 0 to 600000 ms",
    schema: createIntegerSchema(0, 600_000, 5_000),
  },
  drainLimit: {
    flag: "--drain-limit-milliseconds",
    variable: "TANAGERPIN_DRAIN_LIMIT_MILLISECONDS",
    expected: "the time after which a stop aborts open requests, 0 to 3600000 ms",
    schema: createIntegerSchema(0, 3_600_000, 60_000),
  },
  callerCertificate: {
    flag: "--caller-certificate-file",
    variable: "TANAGERPIN_CALLER_CERTIFICATE_FILE",
    expected: CERTIFICATE_EXPECTED,
    schema: FILE_TEXT_SCHEMA,
  },
  callerCertificateKey: {
    flag: "--caller-certificate-key-file",
    variable: "TANAGERPIN_CALLER_CERTIFICATE_KEY_FILE",
    expected: CERTIFICATE_KEY_EXPECTED,
    schema: FILE_TEXT_SCHEMA,
  },
  operatorCertificate: {
    flag: "--operator-certificate-file",
    variable: "TANAGERPIN_OPERATOR_CERTIFICATE_FILE",
    expected: CERTIFICATE_EXPECTED,
    schema: FILE_TEXT_SCHEMA,
  },
  operatorCertificateKey: {
    flag: "--operator-certificate-key-file",
    variable: "TANAGERPIN_OPERATOR_CERTIFICATE_KEY_FILE",
    expected: CERTIFICATE_KEY_EXPECTED,
    schema: FILE_TEXT_SCHEMA,
  },
  maintenanceInterval: {
    flag: "--maintenance-interval-milliseconds",
    variable: "TANAGERPIN_MAINTENANCE_INTERVAL_MILLISECONDS",
    expected: "the time between two steps of a maintenance, 50 to 600000 ms",
    schema: createIntegerSchema(50, 600_000, 5_000),
  },
  capacityInterval: {
    flag: "--capacity-interval-milliseconds",
    variable: "TANAGERPIN_CAPACITY_INTERVAL_MILLISECONDS",
    expected: "the time between two decisions on moves of spare hosts, 20 to 600000 ms",
    schema: createIntegerSchema(20, 600_000, 10_000),
  },
  longestReboot: {
    flag: "--longest-reboot-milliseconds",
    variable: "TANAGERPIN_LONGEST_REBOOT_MILLISECONDS",
    expected: "how long a host may reboot before it counts as missing, 100 to 86400000 ms",
    schema: createIntegerSchema(100, 86_400_000, 1_800_000),
  },
} as const;

/** The values of the settings of an entry host. */
export type EntrySettings = SettingValues<typeof ENTRY_SETTINGS>;
