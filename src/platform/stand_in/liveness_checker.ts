/** Checks that in calm times no task whose turn has come stays unstarted where there is room. */

import type { ConfigurationData } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import {
  formatTaskName,
  type JobSpecification,
  parseTaskName,
  type StepSpecification,
} from "../../fleet/job_specification.ts";
import { addResources, fitsCapacity, NO_RESOURCES, type Resources } from "../../fleet/resources.ts";
import { RunEnd } from "../../fleet/run.ts";
import type { ExecutorModel } from "./executor_model.ts";

/** How long a job may have nothing running, from the rule on lost work, in milliseconds. */
const UNSTARTED_MILLISECONDS = 3_000;
/** How long before that all must have been calm, from the same rule, in milliseconds. */
const CALM_MILLISECONDS = 4_000;
/** How long a lasting task may be away after its last run, from the same rule, in milliseconds. */
const LASTING_MILLISECONDS = 6_000;
/** How many times over there must be room, from the same rule. */
const ROOM_FACTOR = 2;
/** The part of ceilings and services below which the rule holds. */
const USED_PART = 0.5;

/** A job whose tasks are to start. */
interface WatchedJob {
  queue: string;
  customer: string;
  specification: JobSpecification;
}

/** What is seen of the fleet at one moment. */
export interface FleetView {
  /** The time, in milliseconds. */
  now: number;
  /** The executors by id. */
  models: ReadonlyMap<string, ExecutorModel>;
  /** What each of them is. */
  entries: ReadonlyMap<string, ExecutorEntry>;
  /** The zones that were taken out. */
  evacuatedZones: ReadonlySet<string>;
  /** Gets what callers are told of a job. */
  getJobState: (id: string) => string | undefined;
}

/** One executor that may run tasks of a service, with what is in use there. */
interface Room {
  entry: ExecutorEntry;
  used: Resources;
  tasks: string[];
}

/** What one judgement goes by. */
interface Seen {
  view: FleetView;
  rooms: readonly Room[];
  running: ReadonlySet<string>;
  usage: ReadonlyMap<string, Resources>;
}

/** Options of `StartChecks`. */
export interface LivenessCheckerOptions {
  /** What operators have published. */
  configuration: ConfigurationData;
  /** Gets told what could run and does not. */
  onViolation: (rule: string, what: string) => void;
}

/** Watches the tasks that could run and do not. */
export class LivenessChecker {
  readonly #options: LivenessCheckerOptions;
  readonly #jobs = new Map<string, WatchedJob>();
  /** The accepted jobs that have not ended. */
  readonly #watched = new Set<string>();
  /** The jobs that callers gave up, some of them before they were accepted. */
  readonly #givenUp = new Set<string>();
  readonly #done = new Set<string>();
  /** Since when a job, or a lasting task, could run and does not. */
  readonly #idleSince = new Map<string, number>();
  /** When a lasting task was last seen to run. */
  readonly #ranAt = new Map<string, number>();
  #troubledAt = -Infinity;

  private constructor(options: LivenessCheckerOptions) {
    this.#options = options;
  }

  /** Creates checks that have seen nothing. */
  static create(options: LivenessCheckerOptions): LivenessChecker {
    return new LivenessChecker(options);
  }

  /** Notes that a caller submits a job. */
  addJob(id: string, job: WatchedJob): void {
    this.#jobs.set(id, job);
  }

  /** Notes that a job was accepted. */
  addAcceptedJob(id: string): void {
    if (!this.#givenUp.has(id)) this.#watched.add(id);
  }

  /** Notes that a caller gives a job up. */
  addCancelRequest(id: string): void {
    this.#givenUp.add(id);
    this.#watched.delete(id);
  }

  /** Notes an end. */
  addEnd(task: string, end: RunEnd): void {
    if (end === RunEnd.Done) this.#done.add(task);
  }

  /** Notes that something goes wrong: what comes soon after it is not judged. */
  addFault(now: number): void {
    this.#troubledAt = now;
  }

  /** Judges one moment. */
  check(view: FleetView): void {
    const rooms = [...view.models].map(([id, model]): Room => {
      const tasks = [...model.running.keys()];
      const used = { ...NO_RESOURCES };
      for (const task of tasks) addResources(used, this.#getDemand(task));
      return { entry: view.entries.get(id)!, used, tasks };
    });
    const running = new Set(rooms.flatMap(({ tasks }) => tasks));
    const usage = this.#getUsage(running);
    for (const id of this.#watched) {
      const state = view.getJobState(id);
      if (state === "completed" || state === "failed") this.#watched.delete(id);
      else this.#checkJob(id, { view, rooms, running, usage });
    }
  }

  #checkJob(id: string, seen: Seen): void {
    const job = this.#jobs.get(id)!;
    const { steps } = job.specification;
    const couldRun: string[] = [];
    let isAtWork = false;
    steps.forEach((step, number) => {
      const names = getTaskNames(id, number, step);
      if (names.some((name) => seen.running.has(name))) isAtWork = true;
      const isTurn = step.after.every((earlier) =>
        getTaskNames(id, earlier, steps[earlier]!).every((name) => this.#done.has(name))
      );
      const missing = names.filter((name) => !seen.running.has(name) && !this.#done.has(name));
      const isDue = isTurn && missing.length > 0 && this.#hasRoom(id, job, number, seen);
      if (step.isLasting) { for (const name of names) this.#checkLasting(name, isDue, seen); }
      else if (isDue) couldRun.push(...missing);
    });
    this.#judge(id, !isAtWork && couldRun.length > 0, seen.view.now, couldRun[0] ?? id);
  }

  #checkLasting(name: string, isDue: boolean, { running, view: { now } }: Seen): void {
    if (running.has(name) || !this.#ranAt.has(name)) this.#ranAt.set(name, now);
    const isLongAway =
      now - this.#ranAt.get(name)! >= LASTING_MILLISECONDS - UNSTARTED_MILLISECONDS;
    this.#judge(`lasting ${name}`, isDue && isLongAway && !running.has(name), now, name);
  }

  /** Notes whether something could run and does not, and judges it once that has lasted. */
  #judge(key: string, isIdle: boolean, now: number, task: string): void {
    if (!isIdle) {
      this.#idleSince.delete(key);
      return;
    }
    const since = this.#idleSince.get(key) ?? now;
    this.#idleSince.set(key, since);
    const from = Math.max(since, this.#troubledAt + CALM_MILLISECONDS);
    if (now - from < UNSTARTED_MILLISECONDS) return;
    this.#idleSince.set(key, now);
    this.#options.onViolation("LOST", `${task} could run and does not at ${now}`);
  }

  /** Gets whether there is room for a step's tasks twice over, and no limit is near. */
  #hasRoom(id: string, job: WatchedJob, number: number, { view, rooms, usage }: Seen): boolean {
    const { configuration } = this.#options;
    const step = job.specification.steps[number]!;
    const service = configuration.queues.find(({ name }) => name === job.queue)?.service;
    const pool = rooms.filter(({ entry }) => entry.service === service);
    const used = { ...NO_RESOURCES };
    const half = { ...NO_RESOURCES };
    for (const room of pool) {
      addResources(used, room.used);
      addResources(half, room.entry.capacity, USED_PART);
    }
    if (!fitsCapacity(used, NO_RESOURCES, half)) return false;
    const ceiling = configuration.customers.find(({ name }) => name === job.customer)?.ceiling;
    if (ceiling !== undefined && !isUnderHalf(usage.get(job.customer), ceiling)) return false;
    const prefix = `${id}.0.${number}.`;
    const wanted = ROOM_FACTOR * (step.isGang ? step.count : 1);
    let places = 0;
    for (const room of pool) {
      if (room.entry.isDraining || view.evacuatedZones.has(room.entry.zone)) continue;
      if (step.label !== undefined && !room.entry.labels.includes(step.label)) continue;
      const beside = room.tasks.filter((name) => name.startsWith(prefix)).length;
      const most = step.mostPerExecutor === 0 ? wanted : step.mostPerExecutor - beside;
      places += countPlaces(room, step.demand, Math.min(most, wanted));
    }
    return places >= wanted;
  }

  #getUsage(running: Iterable<string>): Map<string, Resources> {
    const usage = new Map<string, Resources>();
    for (const task of running) {
      const customer = this.#jobs.get(parseTaskName(task)!.jobId)!.customer;
      const total = usage.get(customer) ?? { ...NO_RESOURCES };
      addResources(total, this.#getDemand(task));
      usage.set(customer, total);
    }
    return usage;
  }

  #getDemand(task: string): Resources {
    const { jobId, step } = parseTaskName(task)!;
    return this.#jobs.get(jobId)!.specification.steps[step]!.demand;
  }
}

function getTaskNames(jobId: string, step: number, { count }: StepSpecification): string[] {
  return Array.from(
    { length: count },
    (_, index) => formatTaskName({ jobId, occurrence: 0, step, index }),
  );
}

/** Gets how many tasks of a demand find room, up to a number. */
function countPlaces({ entry, used }: Room, demand: Resources, most: number): number {
  const after = { ...used };
  let places = 0;
  while (places < most && fitsCapacity(after, demand, entry.capacity)) {
    addResources(after, demand);
    places += 1;
  }
  return places;
}

function isUnderHalf(used: Resources | undefined, ceiling: Resources): boolean {
  const half = {
    cpu: ceiling.cpu * USED_PART || Infinity,
    memory: ceiling.memory * USED_PART || Infinity,
    accelerators: ceiling.accelerators * USED_PART || Infinity,
  };
  return fitsCapacity(used ?? NO_RESOURCES, NO_RESOURCES, half);
}
