/** The secrets of keys, which are generated once, shown once and stored only as a hash. */

import { createHash } from "node:crypto";

/** The length of a generated secret, in bytes. */
export const SECRET_BYTES = 24;

/** The parts of the key text that a team presents. */
export interface PresentedKey {
  /** The public id. */
  keyId: string;
  /** The secret. */
  secret: string;
}

/** Gets the hash of a secret, as stored in the log; the secret is random, so no salt is needed. */
export function hashSecret(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/** Formats the key text that a team presents. */
export function formatPresentedKey(key: PresentedKey): string {
  return `${key.keyId}.${key.secret}`;
}

/** Parses the key text that a team presents; undefined if its format is invalid. */
export function parsePresentedKey(text: string): PresentedKey | undefined {
  const match = /^([A-Za-z0-9-]{1,64})\.([A-Za-z0-9_-]{16,128})$/.exec(text);
  if (match === null) return undefined;
  return { keyId: match[1] as string, secret: match[2] as string };
}
