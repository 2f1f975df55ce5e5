/** Amounts of the resources of workers: required or reserved by tasks, in total, or free. */

import { z } from "zod";

/** An amount of each resource: the size of a task, or the total or free capacity of workers. */
export interface TaskSize {
  /** The number of CPU cores; may be fractional. */
  cores: number;
  memoryGigabytes: number;
  /** The number of accelerators. */
  accelerators: number;
}

export const NO_SIZE: TaskSize = { cores: 0, memoryGigabytes: 0, accelerators: 0 };

/** The increments of a reservation per core or gigabyte; a power of two keeps sums exact. */
const INCREMENTS_PER_UNIT = 64;

/** The schema of a size. */
export const taskSizeSchema: z.ZodType<TaskSize> = z.object({
  cores: z.number().min(0).max(4_096),
  memoryGigabytes: z.number().min(0).max(65_536),
  accelerators: z.int().min(0).max(64),
});

/** Rounds a size up to whole increments, as workers reserve it. */
export function toReservation(size: TaskSize): TaskSize {
  return {
    cores: roundUp(size.cores),
    memoryGigabytes: roundUp(size.memoryGigabytes),
    accelerators: size.accelerators,
  };
}

/** Gets whether a size is a multiple of the reservation increment. */
export function isReservation(size: TaskSize): boolean {
  return roundUp(size.cores) === size.cores &&
    roundUp(size.memoryGigabytes) === size.memoryGigabytes;
}

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

/** Gets whether a size fits into the free capacity. */
export function isWithin(size: TaskSize, free: TaskSize): boolean {
  return size.cores <= free.cores &&
    size.memoryGigabytes <= free.memoryGigabytes &&
    size.accelerators <= free.accelerators;
}

/** Gets the dominant share of a size: its largest fraction of any one resource of a total. */
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
  return Math.ceil(amount * INCREMENTS_PER_UNIT) / INCREMENTS_PER_UNIT;
}
