/** Authorizes requests: a request runs under the rights of the team whose key it presents. */

import type { Fleet } from "../records/fleet.ts";
import type { Service } from "../profiles/service.ts";
import type { TeamRights } from "../profiles/profile_data.ts";
import { createNotRunRefusal, type Refusal, RefusalReason } from "../requests/refusal.ts";
import { parsePresentedKey } from "./key_secret.ts";

/** The team of requests and jobs without a key, on services that need none. */
export const OPEN_TEAM = "open";

/** Options of `decideAccess`. */
export interface AccessOptions {
  /** The fleet as known to this host. */
  fleet: Fleet;
  /** The name of the service. */
  service: string;
  /** The key that the caller presented, if any. */
  presentedKey: string | undefined;
}

/** The service and the rights under which a request may run. */
export interface Access {
  service: Service;
  /** The rights of the team in the service's profile. */
  rights: TeamRights;
}

/** The decision on a request. */
export type AccessDecision =
  | { outcome: "granted"; access: Access }
  | { outcome: "refused"; refusal: Refusal };

/** Authorizes a request, and gets the rights of its team. */
export function decideAccess(options: AccessOptions): AccessDecision {
  const service = options.fleet.getService(options.service);
  if (service === undefined) {
    return createRefused(RefusalReason.UnknownService, `no service named ${options.service}`);
  }
  const teamOrRefusal = findTeam(options, service);
  if (typeof teamOrRefusal !== "string") return { outcome: "refused", refusal: teamOrRefusal };
  const rights = service.getProfile().getRights(teamOrRefusal);
  if (rights === undefined) {
    return createRefused(
      RefusalReason.NoRights,
      `team ${teamOrRefusal} has no rights on ${options.service}`,
    );
  }
  return { outcome: "granted", access: { service, rights } };
}

function findTeam(options: AccessOptions, service: Service): string | Refusal {
  if (options.presentedKey === undefined) {
    if (service.getProfile().isOpenQueue()) return OPEN_TEAM;
    return createNotRunRefusal(RefusalReason.NoKey, "this queue needs a team's key");
  }
  return findTeamOfKey(options.fleet, options.presentedKey);
}

/** Finds the team of a presented key, or the refusal of an unknown or withdrawn key. */
export function findTeamOfKey(fleet: Fleet, presentedKey: string): string | Refusal {
  const presented = parsePresentedKey(presentedKey);
  const key = presented && fleet.getKey(presented.keyId);
  if (presented === undefined || key === undefined || !key.matchesSecret(presented.secret)) {
    return createNotRunRefusal(RefusalReason.WrongKey, "the key is not known");
  }
  if (key.isWithdrawn()) {
    return createNotRunRefusal(RefusalReason.WrongKey, "the key was withdrawn");
  }
  return key.getTeamName();
}

function createRefused(reason: RefusalReason, detail: string): AccessDecision {
  return { outcome: "refused", refusal: createNotRunRefusal(reason, detail) };
}
