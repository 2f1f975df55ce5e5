/** The messages by which a full pool is shared, between tasks and between peers. */

import { z } from "zod";

/** A host's message to the keeper of a pool with the demand of its teams. */
export interface ShareDemand {
  /** The kind of the message. */
  kind: "share-demand";
  /** The name of the pool. */
  pool: string;
  /** The number of running and waiting requests by team. */
  demands: [team: string, demand: number][];
}

/** The keeper's message to a host with the parts of the pool that are allotted to its teams. */
export interface ShareAllotment {
  /** The kind of the message. */
  kind: "share-allotment";
  /** The name of the pool. */
  pool: string;
  /** The number of slots that the host should request. */
  slots: number;
  /** The index, in the order of names, of the executor at which it requests slots first. */
  first: number;
  /** The number of slots allotted to each of its teams. */
  parts: [team: string, part: number][];
}

/** The messages between peers by which a full pool is shared. */
export type SharePeerMessage = ShareDemand | ShareAllotment;

const pool = z.string().min(1);
const pairs = z.array(z.tuple([z.string(), z.number().min(0)]));

/** The schemas of these messages. */
export const SHARE_PEER_MESSAGE_SCHEMAS = [
  z.object({ kind: z.literal("share-demand"), pool, demands: pairs }),
  z.object({
    kind: z.literal("share-allotment"),
    pool,
    slots: z.int().min(0),
    first: z.int().min(0),
    parts: pairs,
  }),
] as const;
