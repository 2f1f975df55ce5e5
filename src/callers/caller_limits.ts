/** The limits for callers, and their defaults for a machine's memory and descriptors. */

/** The limits that a process sets for its callers. */
export interface CallerLimits {
  /** The maximum number of connections. */
  connections: number;
  /** The maximum number of connections from one address. */
  connectionsPerAddress: number;
  /** The maximum number of requests whose answers are not sent. */
  openRequests: number;
  /** The maximum number of such requests from one address. */
  openRequestsPerAddress: number;
  /** The number of such requests on a connection from which on it is not read. */
  openRequestsPerConnection: number;
  /** The maximum number of bytes of bodies and of bytes received and not read. */
  heldBytes: number;
  /** The maximum number of such bytes from one address. */
  heldBytesPerAddress: number;
  /** The number of such bytes of a connection from which on no further request of it is read. */
  heldBytesPerConnection: number;
  /** The maximum size of the head of a request, in bytes. */
  headBytes: number;
  /** The maximum time until the last byte of a head, in milliseconds. */
  headMilliseconds: number;
  /** The maximum time until the last byte of a body, in milliseconds. */
  bodyMilliseconds: number;
  /** How long a connection without an open request is kept, in milliseconds. */
  idleMilliseconds: number;
  /** How long a client may read nothing of an answer that waits for it, in milliseconds. */
  unreadMilliseconds: number;
  /** The maximum time that a request may allow for its answer, in milliseconds. */
  answerMilliseconds: number;
  /** The maximum number of calls that wait for an owner's answer. */
  pendingCalls: number;
  /** The maximum number of bytes that wait on a link between entry hosts. */
  linkBytes: number;
  /** The maximum number of links from other entry hosts. */
  links: number;
  /** The estimated size of the jobs that an owner holds from which on it accepts no more, in bytes. */
  ownerJobBytes: number;
  /** The maximum number of log lines about refused requests in a second, for each kind. */
  refusalLines: number;
}

/** The limits of a machine. */
export interface MachineLimits {
  /** The memory, in megabytes. */
  memoryMegabytes: number;
  /** The maximum number of descriptors of a process. */
  descriptors: number;
}

const BYTES_PER_MEGABYTE = 1_048_576;
/** The memory of a process without callers, with the garbage of its heap, in megabytes. */
const BASE_MEGABYTES = 100;
/** The memory that is divided between callers and jobs at least, in megabytes. */
const MINIMUM_SHARED_MEGABYTES = 16;
/** The part of the shared memory for bytes of callers. */
const HELD_FRACTION = 0.2;
/** The part of the shared memory for open requests. */
const REQUESTS_FRACTION = 0.2;
/** The part of the shared memory for connections. */
const CONNECTIONS_FRACTION = 0.25;
/** The part of the shared memory for the jobs of an owner. */
const JOBS_FRACTION = 0.35;
/** The memory of an open request with its call, in bytes. */
export const OPEN_REQUEST_BYTES = 16_384;
/** The memory of a connection without a request, in bytes. */
const CONNECTION_BYTES = 16_384;
/** The maximum number of open requests: each may put two messages into a mailbox of 10,000. */
const MAXIMUM_OPEN_REQUESTS = 4_000;
const MAXIMUM_HELD_BYTES = 64 * BYTES_PER_MEGABYTE;
/** The maximum for jobs: the heap of a process is bounded too, also where the machine is larger. */
const MAXIMUM_JOB_BYTES = 100 * BYTES_PER_MEGABYTE;
/** The descriptors of a process that are kept for files. */
const FILE_DESCRIPTORS = 200;
/** The part of the other descriptors for callers; the rest is for executors, store and peers. */
const CALLER_DESCRIPTORS_FRACTION = 0.6;
/** The part of the other descriptors for links from other entry hosts. */
const LINK_DESCRIPTORS_FRACTION = 0.1;
/** The part of a limit that one address may use: callers may all come through one balancer. */
const ADDRESS_FRACTION = 0.75;

/** Creates the limits of a process on a machine; `overrides` replaces single ones. */
export function createCallerLimits(
  machine: MachineLimits,
  overrides: Partial<CallerLimits> = {},
): CallerLimits {
  const sharedMegabytes = Math.max(
    machine.memoryMegabytes - BASE_MEGABYTES,
    MINIMUM_SHARED_MEGABYTES,
  );
  const sharedBytes = sharedMegabytes * BYTES_PER_MEGABYTE;
  const descriptors = Math.max(machine.descriptors - FILE_DESCRIPTORS, 0);
  const connections = overrides.connections ?? Math.max(
    1,
    Math.floor(Math.min(
      descriptors * CALLER_DESCRIPTORS_FRACTION,
      sharedBytes * CONNECTIONS_FRACTION / CONNECTION_BYTES,
    )),
  );
  const openRequests = overrides.openRequests ?? Math.floor(
    Math.min(MAXIMUM_OPEN_REQUESTS, sharedBytes * REQUESTS_FRACTION / OPEN_REQUEST_BYTES),
  );
  const heldBytes = overrides.heldBytes ??
    Math.floor(Math.min(MAXIMUM_HELD_BYTES, sharedBytes * HELD_FRACTION));
  return {
    connections,
    connectionsPerAddress: Math.ceil(connections * ADDRESS_FRACTION),
    openRequests,
    openRequestsPerAddress: Math.ceil(openRequests * ADDRESS_FRACTION),
    openRequestsPerConnection: 32,
    heldBytes,
    heldBytesPerAddress: Math.ceil(heldBytes * ADDRESS_FRACTION),
    heldBytesPerConnection: BYTES_PER_MEGABYTE,
    headBytes: 16_384,
    headMilliseconds: 3_000,
    bodyMilliseconds: 3_000,
    idleMilliseconds: 15_000,
    unreadMilliseconds: 10_000,
    answerMilliseconds: 60_000,
    pendingCalls: openRequests * 2,
    linkBytes: 4 * BYTES_PER_MEGABYTE,
    links: Math.max(1, Math.floor(descriptors * LINK_DESCRIPTORS_FRACTION)),
    ownerJobBytes: Math.floor(Math.min(MAXIMUM_JOB_BYTES, sharedBytes * JOBS_FRACTION)),
    refusalLines: 20,
    ...overrides,
  };
}
