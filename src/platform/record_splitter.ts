/** Splits journal values that exceed the store's limit for a record into several records. */

import type { JournalEntry } from "../owner/owner_ports.ts";

/** The prefix of the keys of further parts of a value. */
const PART_PREFIX = "part/";
/** The first byte of a value in parts: an empty CBOR array, where other values are CBOR maps. */
const SPLIT_MARK = 0x80;
/** The bytes before the first part: the mark, and the number of further parts. */
const HEADER_BYTES = 3;
/** The length of a key that precedes the key and the value in a record, in bytes. */
const KEY_LENGTH_BYTES = 1;
/** The maximum length of a key, in bytes. */
const MAXIMUM_KEY_BYTES = 255;
const EMPTY = Buffer.alloc(0);

/** Splits the values of one writer, and joins those that it has read. */
export class RecordSplitter {
  readonly #recordBytes: number;
  /** The number of further parts that are stored, by key. */
  readonly #partCounts = new Map<string, number>();

  private constructor(recordBytes: number) {
    this.#recordBytes = recordBytes;
  }

  /** Creates a splitter for a maximum size of records, in bytes. */
  static create(recordBytes: number): RecordSplitter {
    return new RecordSplitter(recordBytes);
  }

  /** Gets the entries of which each fits in a record, with deletions of parts that are obsolete. */
  split(entries: readonly JournalEntry[]): JournalEntry[] {
    return entries.flatMap((entry) => {
      const parts = this.#splitValue(entry);
      const obsolete: JournalEntry[] = [];
      for (let number = parts.length; number <= this.#getPartCount(entry.key); number += 1) {
        obsolete.push({ key: getPartKey(entry.key, number) });
      }
      return [...parts, ...obsolete];
    });
  }

  /** Records that entries are stored as they were split. */
  recordStored(entries: readonly JournalEntry[]): void {
    for (const entry of entries) this.#setPartCount(entry.key, this.#splitValue(entry).length - 1);
  }

  /** Joins the values that were read, and leaves out the parts. */
  join(entries: Iterable<readonly [string, Uint8Array]>): [string, Uint8Array][] {
    const values = new Map(entries);
    const joined: [string, Uint8Array][] = [];
    for (const [key, value] of values) {
      if (key.startsWith(PART_PREFIX)) continue;
      if (value[0] !== SPLIT_MARK) {
        joined.push([key, value]);
        continue;
      }
      const partCount = Buffer.from(value).readUInt16BE(1);
      this.#setPartCount(key, partCount);
      const parts = [value.subarray(HEADER_BYTES)];
      for (let number = 1; number <= partCount; number += 1) {
        parts.push(values.get(getPartKey(key, number)) ?? EMPTY);
      }
      joined.push([key, Buffer.concat(parts)]);
    }
    return joined;
  }

  #splitValue({ key, value }: JournalEntry): JournalEntry[] {
    const capacity = this.#recordBytes - KEY_LENGTH_BYTES - MAXIMUM_KEY_BYTES - HEADER_BYTES;
    if (value === undefined || value.length <= capacity) return [{ key, value }];
    const partCount = Math.ceil(value.length / capacity) - 1;
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt8(SPLIT_MARK);
    header.writeUInt16BE(partCount, 1);
    const parts = [{ key, value: Buffer.concat([header, value.subarray(0, capacity)]) }];
    for (let number = 1; number <= partCount; number += 1) {
      const from = number * capacity;
      const part = Buffer.from(value.subarray(from, from + capacity));
      parts.push({ key: getPartKey(key, number), value: part });
    }
    return parts;
  }

  #getPartCount(key: string): number {
    return this.#partCounts.get(key) ?? 0;
  }

  #setPartCount(key: string, count: number): void {
    if (count === 0) this.#partCounts.delete(key);
    else this.#partCounts.set(key, count);
  }
}

function getPartKey(key: string, number: number): string {
  return `${PART_PREFIX}${number}/${key}`;
}
