/** The days that are played before each landing. */

import { parse } from "yaml";
import { z } from "zod";

const daysSchema = z.array(z.strictObject({
  /** The path of the site file, below the folder of the sites. */
  site: z.string().min(1),
  /** The name of the day in the site file. */
  day: z.string().min(1),
  /** Whether the small variant of a large day is played. */
  small: z.boolean().default(false),
  /** The fraction of the credit that was earned at the last landing. */
  served: z.number().min(0).max(1).optional(),
  /** The worth of the day at the last landing. */
  worth: z.number().optional(),
}));

/** A day that is played before each landing, with the figures of the last one. */
export type RegressionDay = z.output<typeof daysSchema>[number];

/** Decodes a list of days in YAML; throws an error that names the invalid field. */
export function decodeRegressionDays(text: string): RegressionDay[] {
  return daysSchema.parse(parse(text));
}
