/**
 * The certificate of a TLS listener, and session ticket keys that are the same on all entry hosts.
 */

import { createHash, hkdfSync } from "node:crypto";

/** The certificate and keys of a TLS listener. */
export interface TlsIdentity {
  /** The certificate chain, in PEM. */
  certificate: string;
  /** The private key, in PEM. */
  key: string;
  /** The session ticket keys. */
  ticketKeys?: Buffer | undefined;
}

/** The period after which the session ticket keys change. */
export const TICKET_PERIOD_MILLISECONDS = 3_600_000;

/** The length of session ticket keys, in bytes: name, HMAC key and AES key. */
const TICKET_KEYS_BYTES = 48;

const TICKET_LABEL = "tanagerpin session tickets";

/** Options of `deriveTicketKeys`. */
export interface TicketKeyOptions {
  /** The private key that all entry hosts share, in PEM. */
  key: string;
  /** The wall-clock time, in milliseconds. */
  wallTime: number;
}

/**
 * Derives the session ticket keys of the period of `wallTime`: the shared private key is hashed with
 * a label, and HKDF expands the hash with the period's number. The method follows X. Fan, "Request
 * for comment: the session ticket protection scheme for distributed TLS sessions", OpenJDK
 * security-dev, 2020.
 */
export function deriveTicketKeys(options: TicketKeyOptions): Buffer {
  const period = Math.floor(options.wallTime / TICKET_PERIOD_MILLISECONDS);
  const material = createHash("sha256").update(options.key).update(TICKET_LABEL).digest();
  const keys = hkdfSync("sha256", material, TICKET_LABEL, String(period), TICKET_KEYS_BYTES);
  return Buffer.from(keys);
}

/** Creates the identity of a listener; undefined if no certificate is configured. */
export function createTlsIdentity(
  certificate: string | undefined,
  key: string | undefined,
): TlsIdentity | undefined {
  if (certificate === undefined || key === undefined) return undefined;
  return { certificate, key, ticketKeys: deriveTicketKeys({ key, wallTime: Date.now() }) };
}
