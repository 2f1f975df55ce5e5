/** Checks that a job is one that every part of the program can handle. */

import { z } from "zod";

const amountSchema = z.number().finite().min(0);
const countSchema = z.int().min(0);

/** The values that the fields of a job may have. */
export const jobSpecificationSchema = z.object({
  text: z.string(),
  steps: z.array(z.object({
    count: z.int().min(1),
    demand: z.object({ cpu: amountSchema, memory: amountSchema, accelerators: amountSchema }),
    estimatedMilliseconds: amountSchema,
    after: z.array(countSchema),
    isGang: z.boolean(),
    wantsSameRack: z.boolean(),
    label: z.string().optional(),
    rack: z.string().optional(),
    mostPerExecutor: countSchema,
    isSpeculative: z.boolean(),
    isLasting: z.boolean(),
    image: z.string().optional(),
    tailMilliseconds: amountSchema,
    isFiller: z.boolean(),
    mostAway: countSchema,
  })),
  repeats: countSchema,
  firstAt: z.number().finite(),
  intervalMilliseconds: amountSchema,
});
