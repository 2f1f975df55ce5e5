/** A key that a team presents with its work. */

import { timingSafeEqual } from "node:crypto";
import type { Fleet } from "../records/fleet.ts";
import type { KeyData } from "./key_data.ts";
import { hashSecret } from "./key_secret.ts";

/** Options of a `Key`. */
export interface KeyOptions {
  /** The fleet to which the key belongs. */
  fleet: Fleet;
  /** What the fleet keeps of it. */
  data: KeyData;
}

/** A granted key; its secret is known to the team alone. */
export class Key {
  readonly #data: KeyData;

  private constructor(options: KeyOptions) {
    this.#data = options.data;
  }

  /** Creates the key. */
  static create(options: KeyOptions): Key {
    return new Key(options);
  }

  /** Gets the public id. */
  getId(): string {
    return this.#data.keyId;
  }

  /** Gets the name of the team for which the key speaks. */
  getTeamName(): string {
    return this.#data.team;
  }

  /** Gets whether operators have withdrawn the key. */
  isWithdrawn(): boolean {
    return this.#data.isWithdrawn;
  }

  /** Gets whether the secret is that of the key, in constant time. */
  matchesSecret(secret: string): boolean {
    const expected = Buffer.from(this.#data.secretHash, "hex");
    const actual = Buffer.from(hashSecret(secret), "hex");
    return expected.length === actual.length && timingSafeEqual(expected, actual);
  }
}
