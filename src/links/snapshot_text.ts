/** The text of snapshots in the log: compressed JSON in base64, cut into chunks. */

import { createHash } from "node:crypto";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { FleetData } from "../records/fleet.ts";
import type { DecodeSnapshot, EncodeSnapshot } from "../records/snapshot.ts";

/** The characters of one chunk. */
export const CHUNK_CHARACTERS = 128 * 1024;

/** The largest snapshot after decompression, in bytes. */
export const MAXIMUM_SNAPSHOT_BYTES = 256 * 1024 * 1024;

/** Gets the chunks of a snapshot. */
export const encodeSnapshot: EncodeSnapshot = (data, snapshotId) => {
  const text = deflateRawSync(JSON.stringify(data), { level: 1 }).toString("base64");
  const count = Math.ceil(text.length / CHUNK_CHARACTERS);
  const checksum = computeChecksum(text);
  return Array.from({ length: count }, (_, index) => ({
    snapshotId,
    offset: data.offset,
    index,
    count,
    checksum,
    text: text.slice(index * CHUNK_CHARACTERS, (index + 1) * CHUNK_CHARACTERS),
  }));
};

/** Gets the snapshot of all its chunks, or undefined if the checksum or the data is wrong. */
export const decodeSnapshot: DecodeSnapshot = (chunks) => {
  const text = chunks.map((chunk) => chunk.text).join("");
  if (chunks.some((chunk) => chunk.checksum !== computeChecksum(text))) return undefined;
  try {
    const maxOutputLength = MAXIMUM_SNAPSHOT_BYTES;
    const json = inflateRawSync(Buffer.from(text, "base64"), { maxOutputLength }).toString("utf8");
    const data = JSON.parse(json) as FleetData;
    return chunks.every((chunk) => chunk.offset === data.offset) ? data : undefined;
  } catch {
    return undefined;
  }
};

function computeChecksum(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
