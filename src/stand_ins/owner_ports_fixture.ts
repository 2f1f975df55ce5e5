/** A fixture of the owner's ports for tests. */

import type { OwnerPorts } from "../owner/owner_ports.ts";

/** Creates ports that ignore every order, with the given ones overridden. */
export function createOwnerPorts(overrides: Partial<OwnerPorts> = {}): OwnerPorts {
  const ignore = () => {};
  return {
    start: ignore,
    stop: ignore,
    pace: ignore,
    poll: ignore,
    askAdvice: ignore,
    listHosts: ignore,
    maintain: ignore,
    move: ignore,
    writeStatus: ignore,
    write: ignore,
    ...overrides,
  };
}
