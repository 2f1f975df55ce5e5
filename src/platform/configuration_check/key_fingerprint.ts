/** Fingerprints of API keys, which stand for the keys in output. */

import { createHash } from "node:crypto";

/** The length of a fingerprint, in hexadecimal digits. */
const FINGERPRINT_DIGITS = 8;

/** Gets the first digits of a key's SHA-256 hash. */
export function getKeyFingerprint(key: string): string {
  return createHash("sha256").update(key).digest("hex").slice(0, FINGERPRINT_DIGITS);
}
