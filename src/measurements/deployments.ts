/** The two current deployments: zones, pool sizes, and profiles from the examples. */

import { readFileSync } from "node:fs";
import { type ProfileData, profileSchema } from "../profiles/profile_data.ts";

/** A deployment. */
export interface Deployment {
  /** Name of the deployment. */
  name: string;
  /** Availability zones. */
  zones: readonly string[];
  /** Number of executors by pool. */
  pools: Readonly<Record<string, number>>;
  /** The pool that lends its hosts to the others. */
  sparePool: string;
  /** Profile of the other pools. */
  profile: ProfileData;
  /** Profile of the spare pool. */
  spareProfile: ProfileData;
  /** Maximum number of hosts of each pool that may be away at once. */
  mostAway: number;
}

/** Slots of each executor. */
export const SLOTS_PER_EXECUTOR = 8;

/** Creates both deployments. */
export function createDeployments(): Deployment[] {
  return [
    {
      name: "mkhize",
      zones: ["zululand-a", "zululand-b", "zululand-c", "zululand-d"],
      pools: { tugdesk: 8, berthbook: 8, sidingwatch: 8, anchorline: 8, harbourmisc: 8 },
      sparePool: "harbourmisc",
      profile: readProfile("mkhize.json"),
      spareProfile: readProfile("mkhize_spare.json"),
      mostAway: 2,
    },
    {
      name: "kwabena",
      zones: ["gh-south-a", "gh-south-b", "gh-south-c"],
      pools: { pricing: 6, hotels: 6, backoffice: 6, households: 8, clinics: 9 },
      sparePool: "backoffice",
      profile: readProfile("kwabena.json"),
      spareProfile: readProfile("kwabena_spare.json"),
      mostAway: 1,
    },
  ];
}

function readProfile(file: string): ProfileData {
  const path = new URL(`../../examples/${file}`, import.meta.url);
  return profileSchema.parse(JSON.parse(readFileSync(path, "utf8")));
}
