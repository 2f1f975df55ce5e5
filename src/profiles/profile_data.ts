/** Profiles, which operators publish: the rules, shares and limits that apply to a kind of work. */

import { z } from "zod";
import {
  type CapacitySettings,
  capacitySettingsSchema,
  DEFAULT_CAPACITY_SETTINGS,
} from "../pools/capacity_settings.ts";

/** The maximum run time that a profile may set for requests. */
export const MAXIMUM_RUN_MILLISECONDS = 3_600_000;

/** A team's rights under a profile. */
export interface TeamRights {
  team: string;
  /** The weight of the team when capacity is scarce. */
  share: number;
  /** The maximum number of requests and tasks of the team that run at once, in the whole fleet. */
  upperLimit: number;
  /** The part of the upper limit that is reserved for tasks of jobs; the rest is for requests. */
  taskLimit: number;
}

/** The data of a profile. */
export interface ProfileData {
  /** The name of the profile. */
  profile: string;
  /** Whether requests and jobs without a key are accepted. */
  isOpenQueue: boolean;
  /** Whether every request may run more than once, regardless of its method. */
  isIdempotent: boolean;
  /** The maximum run time of one request at a target. */
  longestRunMilliseconds: number;
  /** The deadline of a request without one. */
  deadlineMilliseconds: number;
  /** The maximum number of requests of a team that wait at one entry host. */
  queueLength: number;
  /** The settings of spare capacity, of moves and of maintenance. */
  capacity: CapacitySettings;
  /**
   * The retries that each started request adds to the retry budgets of its team and of its pool.
   */
  retryShare: number;
  /** The maximum number of retries in a retry budget. */
  retryReserve: number;
  /** The teams with rights under this profile. */
  teams: TeamRights[];
}

const teamRightsSchema: z.ZodType<TeamRights> = z.object({
  team: z.string().min(1),
  share: z.number().positive(),
  upperLimit: z.int().min(0),
  taskLimit: z.int().min(0).default(0),
}).refine((rights) => rights.taskLimit <= rights.upperLimit, {
  path: ["taskLimit"],
  message: "the task limit exceeds the upper limit",
});

/** The schema of a profile, with the defaults of optional fields. */
export const profileSchema = z.strictObject({
  profile: z.string().min(1),
  isOpenQueue: z.boolean().default(false),
  isIdempotent: z.boolean().default(false),
  longestRunMilliseconds: z.int().min(1).max(MAXIMUM_RUN_MILLISECONDS).default(30_000),
  deadlineMilliseconds: z.int().min(1).max(MAXIMUM_RUN_MILLISECONDS).default(10_000),
  queueLength: z.int().min(0).max(100_000).default(64),
  capacity: capacitySettingsSchema.default(DEFAULT_CAPACITY_SETTINGS),
  retryShare: z.number().min(0).max(1).default(0.1),
  retryReserve: z.int().min(0).max(1_000).default(10),
  teams: z.array(teamRightsSchema).min(1),
}).superRefine((profile, context) => {
  const names = new Set(profile.teams.map((rights) => rights.team));
  if (names.size !== profile.teams.length) {
    context.addIssue({
      code: "custom",
      path: ["teams"],
      message: "a team is listed more than once",
    });
  }
}) as unknown as z.ZodType<ProfileData>;
