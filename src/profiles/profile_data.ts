/** The profile that operators publish: the rules, shares and limits that a kind of work must obey. */

import { z } from "zod";
import {
  type CapacitySettings,
  capacitySettingsSchema,
  DEFAULT_CAPACITY_SETTINGS,
} from "../pools/capacity_settings.ts";

/** The longest time that any request may run. */
export const MAXIMUM_RUN_MILLISECONDS = 3_600_000;

/** A team's rights under a profile. */
export interface TeamRights {
  /** The name of the team. */
  team: string;
  /** The weight of the team when all is full. */
  share: number;
  /** The most that the team may have running at once, over the whole fleet. */
  upperLimit: number;
  /** The part of the upper limit that is kept for tasks of jobs; requests have the rest. */
  taskLimit: number;
}

/** What operators publish. */
export interface ProfileData {
  /** The name of the profile. */
  profile: string;
  /** Whether the queue is open to all; otherwise work needs a key. */
  isOpenQueue: boolean;
  /** Whether every request may run more than once, whatever its method. */
  isIdempotent: boolean;
  /** The longest time that one request may run at a target. */
  longestRunMilliseconds: number;
  /** The deadline of a request that names none. */
  deadlineMilliseconds: number;
  /** How many requests of a team may wait at one entry host. */
  queueLength: number;
  /** The sizes of buffers, the cost of moves and the pace of maintenance. */
  capacity: CapacitySettings;
  /** The retries that each started request adds to the retry budgets of its team and pool. */
  retryShare: number;
  /** The most retries that a retry budget holds. */
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
  message: "more tasks than the upper limit",
});

/** The shape of a profile, with defaults for what may be left out. */
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
    context.addIssue({ code: "custom", path: ["teams"], message: "a team is named twice" });
  }
}) as unknown as z.ZodType<ProfileData>;
