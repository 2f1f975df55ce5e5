/** How much of a worker a task of a job takes. */

import { z } from "zod";

/** An amount of each resource of a worker. */
export interface TaskSize {
  /** Processor cores. */
  cores: number;
  /** Memory in gigabytes. */
  memoryGigabytes: number;
  /** Accelerators. */
  accelerators: number;
}

/** No resource at all. */
export const NO_SIZE: TaskSize = { cores: 0, memoryGigabytes: 0, accelerators: 0 };

/** The steps in one core or gigabyte: a power of two, so that sums of reservations are exact. */
const STEPS_PER_UNIT = 64;

/** The shape of a size. */
export const taskSizeSchema: z.ZodType<TaskSize> = z.object({
  cores: z.number().min(0).max(4_096),
  memoryGigabytes: z.number().min(0).max(65_536),
  accelerators: z.int().min(0).max(64),
});

/** Gets the size rounded up to whole steps, as workers reserve it. */
export function toReservation(size: TaskSize): TaskSize {
  return {
    cores: roundUp(size.cores),
    memoryGigabytes: roundUp(size.memoryGigabytes),
    accelerators: size.accelerators,
  };
}

/** Gets whether a size is in whole steps. */
export function isReservation(size: TaskSize): boolean {
  return roundUp(size.cores) === size.cores &&
    roundUp(size.memoryGigabytes) === size.memoryGigabytes;
}

/** Adds two sizes. */
export function addSizes(first: TaskSize, second: TaskSize): TaskSize {
  return {
    cores: first.cores + second.cores,
    memoryGigabytes: first.memoryGigabytes + second.memoryGigabytes,
    accelerators: first.accelerators + second.accelerators,
  };
}

/** Subtracts the second size from the first. */
export function subtractSizes(first: TaskSize, second: TaskSize): TaskSize {
  return {
    cores: first.cores - second.cores,
    memoryGigabytes: first.memoryGigabytes - second.memoryGigabytes,
    accelerators: first.accelerators - second.accelerators,
  };
}

/** Gets whether a size fits into the room that is left. */
export function isWithin(size: TaskSize, room: TaskSize): boolean {
  return size.cores <= room.cores &&
    size.memoryGigabytes <= room.memoryGigabytes &&
    size.accelerators <= room.accelerators;
}

/** Gets the largest part that a size takes of any one resource of a total. */
export function getDominantShare(size: TaskSize, total: TaskSize): number {
  return Math.max(
    divide(size.cores, total.cores),
    divide(size.memoryGigabytes, total.memoryGigabytes),
    divide(size.accelerators, total.accelerators),
  );
}

function divide(amount: number, total: number): number {
  return total === 0 ? 0 : amount / total;
}

function roundUp(amount: number): number {
  return Math.ceil(amount * STEPS_PER_UNIT) / STEPS_PER_UNIT;
}
