/** The decision whose work a request is: it belongs to the team of the key that came with it. */

import type { Fleet } from "../records/fleet.ts";
import type { Service } from "../profiles/service.ts";
import type { TeamRights } from "../profiles/profile_data.ts";
import { createNotRun, type Refusal, RefusalReason } from "../requests/refusal.ts";
import { parsePresentedKey } from "./key_secret.ts";

/** The team to which work on an open queue belongs when no key came with it. */
export const OPEN_TEAM = "open";

/** What came with a request. */
export interface AccessOptions {
  /** The fleet as this host knows it. */
  fleet: Fleet;
  /** The name of the service. */
  service: string;
  /** The text of the key, if one came. */
  presentedKey: string | undefined;
}

/** The rights under which a request may run. */
export interface Access {
  /** The service. */
  service: Service;
  /** The rights of the team under the service's profile. */
  rights: TeamRights;
}

/** What became of the request for access. */
export type AccessDecision =
  | { outcome: "granted"; access: Access }
  | { outcome: "refused"; refusal: Refusal };

/** Decides under which team's rights a request may run. */
export function decideAccess(options: AccessOptions): AccessDecision {
  const service = options.fleet.getService(options.service);
  if (service === undefined) {
    return deny(RefusalReason.UnknownService, `no service named ${options.service}`);
  }
  const team = findTeam(options, service);
  if (typeof team !== "string") return { outcome: "refused", refusal: team };
  const rights = service.getProfile().getRights(team);
  if (rights === undefined) {
    return deny(RefusalReason.NoRights, `team ${team} has no rights on ${options.service}`);
  }
  return { outcome: "granted", access: { service, rights } };
}

function findTeam(options: AccessOptions, service: Service): string | Refusal {
  if (options.presentedKey === undefined) {
    if (service.getProfile().isOpenQueue()) return OPEN_TEAM;
    return createNotRun(RefusalReason.NoKey, "this queue needs a team's key");
  }
  return findTeamOfKey(options.fleet, options.presentedKey);
}

/** Finds the team for which a key speaks, if it is known and not withdrawn. */
export function findTeamOfKey(fleet: Fleet, presentedKey: string): string | Refusal {
  const presented = parsePresentedKey(presentedKey);
  const key = presented && fleet.getKey(presented.keyId);
  if (presented === undefined || key === undefined || !key.matchesSecret(presented.secret)) {
    return createNotRun(RefusalReason.WrongKey, "the key is not known");
  }
  if (key.isWithdrawn()) return createNotRun(RefusalReason.WrongKey, "the key was withdrawn");
  return key.getTeamName();
}

function deny(reason: RefusalReason, detail: string): AccessDecision {
  return { outcome: "refused", refusal: createNotRun(reason, detail) };
}
